#include "swiftlift/routing/LinkMonitor.h"

#include <algorithm>

namespace swiftlift::routing {

void LinkMonitor::onConnected(const FailureDomain& domain, Instant now)
{
    lastConnected_ = now;
    failed_.clear();
    suspected_ = false;
    probes_[domain].tested = true;
    domains_.onBackendReached(domain);
}

void LinkMonitor::onAnswered(const FailureDomain& domain)
{
    std::erase_if(failed_, [](const auto& failure) { return failure.second == ConnectResult::Closed; });
    domains_.onBackendReached(domain);
}

void LinkMonitor::onUnreachable(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    onFailure(domain, backend, ConnectResult::Unreachable, now);
}

void LinkMonitor::onClosed(const FailureDomain& domain, const BackendId& backend, Instant now)
{
    onFailure(domain, backend, ConnectResult::Closed, now);
}

void LinkMonitor::onFailure(const FailureDomain& domain, const BackendId& backend, ConnectResult result, Instant now)
{
    failed_[backend] = result;
    lastFailure_ = now;
    suspected_ = true;
    probes_[domain].tested = true;
    domains_.onBackendUnreachable(domain, backend, now);
}

void LinkMonitor::onProbeEnded(const FailureDomain& domain, const BackendId& backend, ConnectResult result, Instant now)
{
    probing_.erase(backend);
    if (result == ConnectResult::Connected) {
        onConnected(domain, now);
    } else {
        onFailure(domain, backend, result, now);
    }
}

bool LinkMonitor::linksLost(Instant now) const
{
    return failed_.size() >= minFailedServers && now - lastFailure_ < lostTime && !connectedLately(now);
}

bool LinkMonitor::linksDoubtful(Instant now) const { return !failed_.empty() && !connectedLately(now); }

bool LinkMonitor::connectedLately(Instant now) const { return lastConnected_ && now - *lastConnected_ < connectedTime; }

bool LinkMonitor::seemsUnreachable(const FailureDomain& domain, Instant now) const
{
    return linksLost(now) || domains_.seemsUnreachable(domain, now);
}

std::set<FailureDomain> LinkMonitor::unreachableDomains(Instant now) const
{
    return linksLost(now) ? std::set<FailureDomain> {} : domains_.unreachableDomains(now);
}

bool LinkMonitor::isProbeNeeded(const FailureDomain& domain, Instant now) const
{
    const auto found = probes_.find(domain);
    const bool tested = found != probes_.end() && found->second.tested;
    return !tested || suspected_ || seemsUnreachable(domain, now);
}

bool LinkMonitor::needsProbes(Instant now) const
{
    return suspected_ || linksLost(now) || !domains_.unreachableDomains(now).empty();
}

std::vector<BackendId> LinkMonitor::probes(const ServersByDomain& servers, Instant now)
{
    std::vector<BackendId> chosen;
    for (const auto& [domain, backends] : servers) {
        DomainProbes& probes = probes_[domain];
        if (backends.empty() || now < probes.next || !isProbeNeeded(domain, now)) {
            continue;
        }
        const BackendId& backend = backends[probes.turn++ % backends.size()];
        probes.next = now + (seemsUnreachable(domain, now) ? probePeriod : suspicionProbePeriod);
        if (probing_.insert(backend).second) {
            chosen.push_back(backend);
        }
    }
    return chosen;
}

} // namespace swiftlift::routing
