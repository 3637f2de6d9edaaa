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
 * @brief The metrics thread, and Prometheus' listener with its own.
 *
 * Families are named as the core names them, with `swiftlift_` before it where the core leaves that out. The core is
 * trusted to keep labels few; the number of series is bounded all the same, because a label that takes a caller's text
 * would let callers fill the memory.
 */
class Metrics : public StreamObserver {
public:
    /** @param traffic Control traffic, read at each scrape; outlives the metrics. */
    explicit Metrics(const ControlTraffic& traffic);
    ~Metrics() override;

    /** @return Whether the address could be taken; else see lastReason(). */
    [[nodiscard]] bool listen(const Endpoint& endpoint);
    [[nodiscard]] const std::string& lastReason() const noexcept;
    [[nodiscard]] std::uint16_t port() const;

    void start();
    void stop();

    /** @return The ring of this thread. */
    [[nodiscard]] MetricInbox& inbox() noexcept;

    /** Adds a gauge that is read at each scrape, in the scraping thread. */
    void addReading(std::string name, std::string help, std::function<double()> read);

    void firstToken(std::chrono::microseconds sinceArrival) override;
    void betweenTokens(std::chrono::microseconds gap) override;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** CPU seconds that this process has used. */
[[nodiscard]] double processCpuSeconds();
/** Bytes of this process in memory. */
[[nodiscard]] double processResidentBytes();

} // namespace swiftlift::transport
