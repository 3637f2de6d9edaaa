#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

#include "swiftlift/node/Action.h"
#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/TaggedEvent.h"

namespace swiftlift::transport {

struct PlatformSettings {
    Endpoint vmList;
    std::chrono::milliseconds vmListInterval { 1'000 };
    std::chrono::milliseconds loadInterval { 250 };
    /** Loads read between two reads of the cache events. */
    std::uint32_t loadsPerCacheRead = 1;
    std::chrono::milliseconds limit { 1'000 };
    /** Share of an interval by which each wait differs, so that routers don't all ask at the same moment. */
    double jitter = 0.2;
};

/** What the decision thread asks of the platform thread. */
using PlatformCommand = std::variant<node::WatchBackends, node::SendOrder>;
using PlatformInbox = ring::Inbox<PlatformCommand>;

/**
 * @brief The platform thread: reads the VM list, reads what backend servers report of themselves, sends them orders.
 *
 * All of it is small, periodic and may be lost, so one thread and one loop serve all addresses.
 */
class PlatformClient {
public:
    /** What is given by reference outlives the client. */
    PlatformClient(PlatformSettings settings, DecisionInbox& decisions, ControlTraffic& traffic);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void start();
    void stop();

    /** @return The ring of this thread. */
    [[nodiscard]] PlatformInbox& inbox() noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::transport
