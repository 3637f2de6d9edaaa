#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "swiftlift/node/Action.h"
#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/StreamServer.h"

namespace swiftlift::transport {

using MetricUpdate = std::variant<node::CountMetric, node::GaugeMetric>;
using MetricInbox = ring::Inbox<MetricUpdate>;

/**
 * @brief The metrics thread, and the Prometheus listener with a thread of its own.
 *
 * Metric families have the names that the core uses, with the prefix `swiftlift_` added where it is missing. The core
 * is expected to use few label values. The number of series is limited nevertheless, because a label with text from a
 * caller would let callers fill the memory.
 */
class Metrics : public StreamObserver {
public:
    /** @param traffic Control traffic, read at each scrape; outlives this object. */
    explicit Metrics(const ControlTraffic& traffic);
    ~Metrics() override;

    /** @return Whether the address could be bound; if not, lastReason() has the reason. */
    [[nodiscard]] bool listen(const Endpoint& endpoint);
    [[nodiscard]] const std::string& lastReason() const noexcept;
    /** @return The port of the Prometheus listener; 0 if it doesn't listen. */
    [[nodiscard]] std::uint16_t port() const;

    void start();
    /** Ends both threads; waits for a client that is still sending its request, for half a second at most. */
    void stop();

    /** @return The ring from which the metrics thread takes updates. */
    [[nodiscard]] MetricInbox& inbox() noexcept;

    /** Adds a gauge whose value is read at each scrape, in the thread of the Prometheus listener. */
    void addReading(std::string name, std::string help, std::function<double()> read);

    void firstToken(std::chrono::microseconds sinceArrival) override;
    void betweenTokens(std::chrono::microseconds gap) override;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** @return CPU time that this process has used, in seconds. */
[[nodiscard]] double processCpuSeconds();
/** @return Resident memory of this process, in bytes. */
[[nodiscard]] double processResidentBytes();

} // namespace swiftlift::transport
