#pragma once

#include <map>
#include <string>

#include "node/Context.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/**
 * @brief Logs when the platform's log, or a backend server, passes from one state to another.
 *
 * What goes wrong without it: requests go elsewhere, or wait, for a cause that no line names, since the change was
 * heard from a report or from a silence, and no decision went with it.
 */
class StateChanges {
public:
    explicit StateChanges(Context& context);

    /** @param detail What was heard last; empty after mere silence. */
    void noteLog(bool reachable, const std::string& detail);
    void noteBackend(const BackendId& backend, const routing::BackendTable& table);
    /** Forgets the backend servers that the table no longer knows. */
    void removeUnknown(const routing::BackendTable& table);

private:
    Context& context_;
    bool logReachable_ = false;
    std::map<BackendId, routing::BackendState> backends_;
};

/** @return The state's name on operators' pages and in log lines. */
[[nodiscard]] const char* toText(routing::BackendState state) noexcept;

} // namespace swiftlift::node
