#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Detects failure domains that this router can't reach, from its own connection attempts alone.
 *
 * After a network partition that leaves a router with the backend servers of one domain, requests that are placed over
 * all domains wait for one connection timeout after another and are refused after four; the log then shows many
 * `attempt_failed` events a second with `unreachable` for servers of the same domains. Circuit breakers would need
 * three failures for each server, which takes as long as the partition lasts. So two servers of a domain that could not
 * be reached, with no server of the domain reached in between, make the router prefer other domains for a short time.
 */
class DomainReachability {
public:
    /** @brief Records that a backend server of the domain was reached: the domain counts as reachable again. */
    void onBackendReached(const FailureDomain& domain);
    /** @brief Records that a connection to the backend server failed. */
    void onBackendUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now);

    /** @return True if the domain is to be avoided as long as others have a usable backend server. */
    [[nodiscard]] bool seemsUnreachable(const FailureDomain& domain, Instant now) const;
    /** @return The domains to be avoided as long as others have a usable backend server. */
    [[nodiscard]] std::set<FailureDomain> unreachableDomains(Instant now) const;

private:
    /** Unreachable servers that make their domain count as unreachable. One server alone may be down; for two, the
     * network is the likelier cause. */
    static constexpr std::size_t minUnreachableServers = 2;
    /** How long a domain counts as unreachable after the last failed connection. Requests sent there afterwards show
     * whether the partition is over; each loses at most the connection timeout. */
    static constexpr Duration unreachableTime = std::chrono::seconds(2);

    /** @brief Servers of a domain that could not be reached since one of them was reached last. */
    struct ConnectFailures {
        std::set<BackendId> servers;
        Instant last;
    };

    std::map<FailureDomain, ConnectFailures> connectFailures_;
};

} // namespace swiftlift::routing
