#include "swiftlift/routing/DomainReach.h"

namespace swiftlift::routing {

void DomainReach::onReached(const FailureDomain& domain) { missed_.erase(domain); }

void DomainReach::onUnreached(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    Missed& missed = missed_[domain];
    missed.servers.insert(backend);
    missed.last = now;
}

std::set<FailureDomain> DomainReach::doubtful(Instant now) const
{
    std::set<FailureDomain> domains;
    for (const auto& [domain, missed] : missed_) {
        if (missed.servers.size() >= serversForDoubt && now - missed.last < doubtLasts) {
            domains.insert(domain);
        }
    }
    return domains;
}

} // namespace swiftlift::routing
