#include "swiftlift/routing/DomainReachability.h"

namespace swiftlift::routing {

void DomainReachability::onBackendReached(const FailureDomain& domain) { connectFailures_.erase(domain); }

void DomainReachability::onBackendUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    ConnectFailures& failures = connectFailures_[domain];
    failures.servers.insert(backend);
    failures.last = now;
}

bool DomainReachability::seemsUnreachable(const FailureDomain& domain, Instant now) const
{
    const auto found = connectFailures_.find(domain);
    return found != connectFailures_.end() && found->second.servers.size() >= minUnreachableServers
        && now - found->second.last < unreachableTime;
}

std::set<FailureDomain> DomainReachability::unreachableDomains(Instant now) const
{
    std::set<FailureDomain> domains;
    for (const auto& [domain, failures] : connectFailures_) {
        if (seemsUnreachable(domain, now)) {
            domains.insert(domain);
        }
    }
    return domains;
}

} // namespace swiftlift::routing
