#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "node/BackendLinks.h"
#include "node/Context.h"

namespace swiftlift::node {

/** Decides which connections to backend servers this router relays for peers that have lost their own links. */
class RelayService {
public:
    /** @param stopping Returns whether this router takes no new work. */
    RelayService(Context& context, const ServerDirectory& servers, BackendLinks& links, std::function<bool()> stopping);

    void on(const RelayRequested& event);
    void on(const RelayEnded& event);

    /** @return Number of relayed connections in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return relays_.size(); }

private:
    /** Connections that are relayed at once. Forwarding bytes costs less than half of serving a request, so this is
     * what one peer without links sends on a day of high load. */
    static constexpr std::size_t maxRelays = 64;

    /** @return Why no router should send requests to the server; empty: there is no reason. */
    [[nodiscard]] static std::string objectionToServer(const std::optional<ReachableServer>& server);
    /** @return Why another router had better relay the connection; empty: there is no reason. */
    [[nodiscard]] std::string objectionToRelaying(const std::optional<ReachableServer>& server) const;

    Context& context_;
    const ServerDirectory& servers_;
    BackendLinks& links_;
    std::function<bool()> stopping_;
    std::map<RelayId, BackendId> relays_;
};

} // namespace swiftlift::node
