#include "swiftlift/routing/DomainReach.h"

namespace swiftlift::routing {

void DomainReach::onReached(const FailureDomain& domain) { missed_.erase(domain); }

void DomainReach::onUnreached(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    Missed& missed = missed_[domain];
    missed.servers.insert(backend);
    missed.last = now;
}

bool DomainReach::doubts(const FailureDomain& domain, Instant now) const
{
    const auto found = missed_.find(domain);
    return found != missed_.end() && found->second.servers.size() >= serversForDoubt
        && now - found->second.last < doubtLasts;
}

std::set<FailureDomain> DomainReach::doubtful(Instant now) const
{
    std::set<FailureDomain> domains;
    for (const auto& [domain, missed] : missed_) {
        if (doubts(domain, now)) {
            domains.insert(domain);
        }
    }
    return domains;
}

} // namespace swiftlift::routing
