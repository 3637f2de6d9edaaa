#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Which failure domains this router seems to be cut off from, judged by its own attempts alone.
 *
 * What goes wrong: a cut leaves a router with the backend servers of one domain, while requests go on being placed over
 * all of them. Each then waits for one connection after another to time out, and is refused after four. One notices by
 * `attempt_failed` with `unreachable`, many in a second, to servers of the same domains. A breaker learns it server by
 * server, three failures each; that takes as many seconds as the cut lasts. Two servers of a domain that were not
 * reached one after the other, with nothing of the domain reached between, are enough to prefer the others for a
 * moment.
 */
class DomainReachability {
public:
    void onBackendReached(const FailureDomain& domain);
    void onBackendUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now);

    /** @return Whether the domain is to be passed over while others have a usable backend server. */
    [[nodiscard]] bool seemsUnreachable(const FailureDomain& domain, Instant now) const;
    /** @return Domains to be passed over while others have a usable backend server. */
    [[nodiscard]] std::set<FailureDomain> unreachableDomains(Instant now) const;

private:
    /** One server alone may be down; of two, the way to them is the likelier cause. */
    static constexpr std::size_t serversForDoubt = 2;
    /** Then some requests find out whether the cut is over; each loses no more than the time to connect. */
    static constexpr Duration doubtLasts = std::chrono::seconds(2);

    struct Missed {
        std::set<BackendId> servers;
        Instant last;
    };

    std::map<FailureDomain, Missed> missed_;
};

} // namespace swiftlift::routing
