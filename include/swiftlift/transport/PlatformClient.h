#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/BackendForwarders.h"
#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

/** Addresses, intervals and timeouts of the platform thread. */
struct PlatformSettings {
    /** Address of the platform's VM list. */
    Endpoint vmList;
    /** Interval between two reads of the VM list. */
    std::chrono::milliseconds vmListInterval { 1'000 };
    /** Interval between two reads of a backend server's load report. */
    std::chrono::milliseconds loadInterval { 250 };
    /** Number of load reports read for each read of the cache events. */
    std::uint32_t loadsPerCacheRead = 1;
    /** Timeout of each HTTP call. */
    std::chrono::milliseconds limit { 1'000 };
    /** Maximum random deviation of a wait, as a fraction of its interval; it keeps routers from polling in step. */
    double jitter = 0.2;
    BackendForwarders forwarders {};
};

/** Commands from the decision thread to the platform thread. */
using PlatformCommand = std::variant<node::WatchBackends, node::SendOrder>;
using PlatformInbox = ring::Inbox<PlatformCommand>;

/**
 * @brief The platform thread: reads the VM list and the backend servers' reports, and sends orders to backend servers.
 *
 * All these messages are small and periodic, and their loss is tolerated, so one thread and one event loop serve all
 * addresses.
 */
class PlatformClient {
public:
    /** Arguments that are passed by reference must outlive the client. */
    PlatformClient(PlatformSettings settings, DecisionInbox& decisions, ControlTraffic& traffic);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void start();
    void stop();

    /** @return The ring from which the platform thread takes commands. */
    [[nodiscard]] PlatformInbox& inbox() noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
