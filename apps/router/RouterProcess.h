#pragma once

#include <chrono>
#include <string>

#include "swiftlift/base/Finding.h"
#include "swiftlift/settings/RouterSettings.h"
#include "swiftlift/transport/ActionExecutor.h"
#include "swiftlift/transport/DecisionLoop.h"

namespace swiftlift::router {

/** Owns all threads of one router, and starts and stops them in order. */
class RouterProcess {
public:
    /** @param seed Seed of the decision core's random numbers. */
    RouterProcess(const settings::RouterSettings& settings, std::uint64_t seed);

    /** @brief Opens the log file and binds all listen addresses. @return One finding for each that failed. */
    [[nodiscard]] Findings listen();

    /** @brief Starts all threads. */
    void start();

    /** @brief Applies a changed log level, and logs whether other changed settings need a restart. */
    void reload(const settings::RouterSettings& changed);
    /** @brief Logs why changed settings are invalid; the settings in force stay. */
    void rejectReload(const Findings& findings);

    /** @brief Requests the core to stop, waits until it is ready or the stop limit of the settings nears its end, and
     * stops all threads. */
    void stop();

private:
    /** @brief Registers the process's metrics that are read on demand. */
    void addReadings();
    /** @brief Logs which provided values are absent or can't be used. */
    void logUnusableSettings(const settings::RouterSettings& settings);

    settings::RouterSettings settings_;
    std::uint64_t seed_;
    transport::ControlTraffic traffic_;
    transport::DecisionInbox decisions_;
    logging::JsonLog jsonLog_;
    transport::Metrics metrics_;
    transport::StreamServer streams_;
    transport::LogClient log_;
    transport::PeerLinks peers_;
    transport::PlatformClient platform_;
    transport::OperatorServer operators_;
    transport::ActionExecutor executor_;
    transport::DecisionLoop loop_;
};

} // namespace swiftlift::router
