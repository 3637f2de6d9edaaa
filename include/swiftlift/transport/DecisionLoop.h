#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <thread>

#include "swiftlift/base/Units.h"
#include "swiftlift/transport/ActionSink.h"
#include "swiftlift/transport/Decider.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** @return A random incarnation number; never 0, which stands for no incarnation. */
[[nodiscard]] Incarnation drawIncarnation();

/**
 * @brief The decision thread: takes events from its ring, passes each to the decider and the decider's actions to the
 * sink.
 */
class DecisionLoop {
public:
    /** Interval between two ticks. The core requires a tick at least every 50 ms. */
    static constexpr Duration defaultTick = std::chrono::milliseconds(20);

    /**
     * @param first Incarnation of the first decider; the incarnations of its successors are random.
     * @param factory Creates the decider of each incarnation.
     * @param inbox Ring of events; outlives the loop.
     * @param sink Receives the actions; outlives the loop.
     * @param tick Interval between two ticks.
     */
    DecisionLoop(
        Incarnation first, DeciderFactory factory, DecisionInbox& inbox, ActionSink& sink, Duration tick = defaultTick);
    ~DecisionLoop();
    DecisionLoop(const DecisionLoop&) = delete;
    DecisionLoop& operator=(const DecisionLoop&) = delete;

    void start();

    /** Ends the thread. Events that are still in the ring stay there. */
    void stop();

    /** @return Number of retired deciders that have been replaced so far. */
    [[nodiscard]] std::uint64_t replacements() const noexcept { return replacements_.load(); }

private:
    void run();
    void startIncarnation(Incarnation incarnation);
    void handlePendingEvents();
    /** Records how long an event has waited, or by how much a tick is late. */
    void noteDelay(Instant arrivedAt, Instant now);
    void handle(const node::Event& event, Instant now);
    void tickWhenDue();
    void executeActions();
    [[nodiscard]] bool isForCurrentIncarnation(const TaggedEvent& tagged) const noexcept;

    Incarnation incarnation_;
    DeciderFactory factory_;
    DecisionInbox& inbox_;
    ActionSink& sink_;
    Duration tickInterval_;
    std::unique_ptr<Decider> decider_;
    node::Actions actions_;
    Instant lastTick_ {};
    /** When the stop of the process was requested; each later incarnation is told. */
    std::optional<Instant> stopRequestedAt_;
    /** The longest delay since the last tick. */
    Duration longestDelay_ {};
    std::atomic<std::uint64_t> replacements_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace swiftlift::transport
