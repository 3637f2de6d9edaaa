#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "swiftlift/base/Units.h"
#include "swiftlift/transport/ActionSink.h"
#include "swiftlift/transport/Decider.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** @return The moment of the steady clock, as the core's time. */
[[nodiscard]] Instant steadyInstant() noexcept;

/** @return A random number that is not 0. */
[[nodiscard]] Incarnation drawIncarnation();

/**
 * @brief The decision thread: takes events from its ring, lets the decider handle each, has its actions carried out.
 */
class DecisionLoop {
public:
    /** Between two ticks of the core, which asks for one every 50 ms at least. */
    static constexpr Duration defaultTick = std::chrono::milliseconds(20);

    /**
     * @param first Incarnation of the first decider; later ones are drawn.
     * @param inbox Ring of events; outlives the loop.
     * @param sink Takes the actions; outlives the loop.
     */
    DecisionLoop(
        Incarnation first, DeciderFactory factory, DecisionInbox& inbox, ActionSink& sink, Duration tick = defaultTick);
    ~DecisionLoop();
    DecisionLoop(const DecisionLoop&) = delete;
    DecisionLoop& operator=(const DecisionLoop&) = delete;

    void start();

    /** Ends the thread; what is in the ring stays there. */
    void stop();

    /** @return How often a retired core has been replaced. */
    [[nodiscard]] std::uint64_t replacements() const noexcept { return replacements_.load(); }

private:
    void run();
    void begin(Incarnation incarnation);
    void handleWaiting();
    void handle(const node::Event& event);
    void tickWhenDue();
    void carryOutAll();
    [[nodiscard]] bool isForUs(const TaggedEvent& tagged) const noexcept;

    Incarnation incarnation_;
    DeciderFactory factory_;
    DecisionInbox& inbox_;
    ActionSink& sink_;
    Duration tickInterval_;
    std::unique_ptr<Decider> decider_;
    node::Actions actions_;
    Instant lastTick_ {};
    std::atomic<std::uint64_t> replacements_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport
