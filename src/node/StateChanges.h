#pragma once

#include <map>
#include <string>
#include <vector>

#include "node/Context.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/**
 * @brief Logs state changes of the platform's log and of backend servers.
 *
 * Such a change comes from a load report, or from the lack of answers, and not with a decision that is logged. Without
 * these lines requests would be sent to other servers, or wait, for a cause that no log line names.
 */
class StateChanges {
public:
    explicit StateChanges(Context& context);

    /**
     * @brief Logs the log's reachability if it has changed.
     * @param detail The error that was received last; empty when no answer arrived.
     */
    void noteLog(bool reachable, const std::string& detail);
    /**
     * @brief Logs and counts this router's calls to the log.
     * @param calls The calls since the previous report.
     * @param config What is known of the configuration in force.
     */
    void noteLogCalls(const LogCalls& calls, const ConfigState& config);
    /** Logs the backend server's state if it has changed. */
    void noteBackend(const BackendId& backend, const routing::BackendTable& table);
    /** Logs what has changed in what is known of backend servers' announcements. */
    void noteAnnouncements(const std::vector<routing::AnnouncementChange>& changes);
    /** Logs the requests that brittle backend servers turned away. */
    void noteTurnedAway(const std::vector<routing::TurnedAway>& requests);
    /** Logs the time for which a backend server wants no requests. */
    void noteRest(const BackendId& backend, Duration rest);
    /** Updates the numbers of backend servers whose announcements are heeded. */
    void countAnnouncements(const routing::AnnouncementCounts& counts);
    /** Removes backend servers that are not in the table any more. */
    void removeUnknown(const routing::BackendTable& table);

private:
    void countLogCalls(const StreamCalls& stream, const char* kind, std::uint32_t calls, std::uint64_t bytes);

    Context& context_;
    bool logReachable_ = false;
    std::map<BackendId, routing::BackendState> backends_;
};

/** @return The place's name in log lines and metrics. */
[[nodiscard]] const char* toText(routing::RoomPlace place) noexcept;
/** @return The state's name on operators' pages and in log lines. */
[[nodiscard]] const char* toText(routing::BackendState state) noexcept;

} // namespace swiftlift::node
