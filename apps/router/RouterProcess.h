#pragma once

#include <chrono>
#include <string>

#include "swiftlift/base/Finding.h"
#include "swiftlift/settings/RouterSettings.h"
#include "swiftlift/transport/ActionExecutor.h"
#include "swiftlift/transport/DecisionLoop.h"

namespace swiftlift::router {

/** All threads of one router, and their order of start and stop. */
class RouterProcess {
public:
    RouterProcess(const settings::RouterSettings& settings, std::uint64_t seed);

    /** Takes all addresses. @return What could not be taken. */
    [[nodiscard]] Findings listen();

    void start();

    /** Takes over what of new settings can change in a running process, and logs what can't. */
    void reload(const settings::RouterSettings& changed);
    /** New settings can't be read: those in force stay. */
    void rejectReload(const Findings& findings);

    /** Asks the core to stop, waits until it is ready, but no longer than the settings' limit, and ends all threads. */
    void stop();

private:
    void addReadings();

    settings::RouterSettings settings_;
    std::uint64_t seed_;
    transport::ControlTraffic traffic_;
    transport::DecisionInbox decisions_;
    logging::JsonLog journal_;
    transport::Metrics metrics_;
    transport::StreamServer streams_;
    transport::LogClient log_;
    transport::PeerLinks peers_;
    transport::PlatformClient platform_;
    transport::OperatorServer operators_;
    transport::ActionExecutor carrier_;
    transport::DecisionLoop loop_;
};

} // namespace swiftlift::router
