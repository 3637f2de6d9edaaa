#include "swiftlift/routing/DomainReachability.h"

namespace swiftlift::routing {

void DomainReachability::onBackendReached(const FailureDomain& domain) { missed_.erase(domain); }

void DomainReachability::onBackendUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    Missed& missed = missed_[domain];
    missed.servers.insert(backend);
    missed.last = now;
}

bool DomainReachability::seemsUnreachable(const FailureDomain& domain, Instant now) const
{
    const auto found = missed_.find(domain);
    return found != missed_.end() && found->second.servers.size() >= serversForDoubt
        && now - found->second.last < doubtLasts;
}

std::set<FailureDomain> DomainReachability::unreachableDomains(Instant now) const
{
    std::set<FailureDomain> domains;
    for (const auto& [domain, missed] : missed_) {
        if (seemsUnreachable(domain, now)) {
            domains.insert(domain);
        }
    }
    return domains;
}

} // namespace swiftlift::routing
