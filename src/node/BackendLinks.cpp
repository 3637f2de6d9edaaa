#include "node/BackendLinks.h"

#include <utility>

namespace swiftlift::node {

BackendLinks::BackendLinks(
    Context& context, const Peers& peers, const ServerDirectory& servers, routing::BackendTable& backends)
    : context_(context)
    , servers_(servers)
    , backends_(backends)
    , relays_(context, peers)
{
}

void BackendLinks::on(const BackendConnected& event)
{
    if (const auto server = servers_.reachableServer(event.backend)) {
        updateDomain(
            server->domain, [&] { monitor_.onConnected(server->domain, context_.now()); },
            "connected to " + event.backend.value());
    }
}

void BackendLinks::on(const ProbeEnded& event)
{
    const auto server = servers_.reachableServer(event.backend);
    const FailureDomain domain = server ? server->domain : FailureDomain {};
    updateDomain(
        domain, [&] { monitor_.onProbeEnded(domain, event.backend, event.result, context_.now()); },
        "probe of " + event.backend.value() + ": " + event.detail);
}

void BackendLinks::on(const BackendsSilent& /*event*/)
{
    monitor_.onSilence();
    sendProbes();
}

void BackendLinks::tick()
{
    const Instant now = context_.now();
    const bool looksForNewDomains = now >= nextNewDomains_;
    if (looksForNewDomains || (now >= nextRound_ && monitor_.needsProbes(now))) {
        nextRound_ = now + probeRound;
        nextNewDomains_ = looksForNewDomains ? now + newDomainPeriod : nextNewDomains_;
        sendProbes();
    }
    noteLinks("no connection has failed for some time");
}

void BackendLinks::sendProbes()
{
    routing::ServersByDomain byDomain;
    std::map<BackendId, BackendAddress> addresses;
    for (ReachableServer& server : servers_.reachableServers()) {
        if (server.getsRequests) {
            byDomain[server.domain].push_back(server.backend);
            addresses[server.backend] = std::move(server.address);
        }
    }
    domains_.clear();
    for (const auto& [domain, backends] : byDomain) {
        domains_.insert(domain);
    }
    for (const BackendId& backend : monitor_.probes(byDomain, context_.now())) {
        context_.emit(ProbeBackend { backend, addresses.at(backend) });
    }
}

LinkPath BackendLinks::pathTo(const FailureDomain& domain, const LinkHistory& history) const
{
    const bool retriesRelayed = history.connectFailed && monitor_.linksDoubtful(context_.now());
    if (!seemsUnreachable(domain) && !retriesRelayed) {
        return {};
    }
    if (auto relay = relays_.choose(domain, history.failedRelays)) {
        return { true, std::move(relay) };
    }
    // With its own links lost, a connection would only wait for its timeout.
    return { !lost(), std::nullopt };
}

void BackendLinks::onDispatched(LinkHistory& history, const LinkPath& path)
{
    history.relay = path.relay ? std::optional(path.relay->peer) : std::nullopt;
    if (history.relay) {
        relays_.onDispatched(*history.relay);
    }
}

void BackendLinks::onAnswering(const LinkHistory& history, const FailureDomain& domain)
{
    if (!history.relay) {
        monitor_.onAnswered(domain);
    }
}

void BackendLinks::onEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence)
{
    if (history.relay) {
        const bool relayFailed = evidence.failure == ConnectFailure::Relay;
        relays_.onEnded(*history.relay, relayFailed);
        if (relayFailed) {
            history.failedRelays.insert(*history.relay);
        }
        return;
    }
    const std::string cause = "request " + attempt.request + " at " + attempt.backend.value();
    if (evidence.failure != ConnectFailure::None) {
        history.connectFailed = true;
        updateDomain(
            attempt.domain, [&] { onConnectFailed(attempt, evidence.failure); }, cause);
        sendProbes();
    } else if (evidence.answered) {
        updateDomain(
            attempt.domain, [&] { monitor_.onAnswered(attempt.domain); }, cause);
    }
}

void BackendLinks::onConnectFailed(const LinkAttempt& attempt, ConnectFailure failure)
{
    if (failure == ConnectFailure::Closed) {
        monitor_.onClosed(attempt.domain, attempt.backend, context_.now());
    } else {
        monitor_.onUnreachable(attempt.domain, attempt.backend, context_.now());
    }
}

bool BackendLinks::showsNothingOfServer(const LinkHistory& history, ConnectFailure failure) const
{
    const bool ownLinksFailed = failure != ConnectFailure::None && !history.relay && lost();
    return failure == ConnectFailure::Relay || ownLinksFailed;
}

std::vector<FailureDomain> BackendLinks::unreachableDomainsForPeers() const
{
    std::vector<FailureDomain> unreachable;
    for (const FailureDomain& domain : domains_) {
        if (seemsUnreachable(domain)) {
            unreachable.push_back(domain);
        }
    }
    return unreachable;
}

void BackendLinks::updateDomain(
    const FailureDomain& domain, const std::function<void()>& change, const std::string& cause)
{
    const bool wasUnreachable = seemsUnreachable(domain);
    change();
    if (const bool isUnreachable = seemsUnreachable(domain); isUnreachable != wasUnreachable) {
        context_.log(LogLineBuilder("domain")
                         .with("domain", domain.value())
                         .with("change", isUnreachable ? "doubtful" : "reached")
                         .with("cause", cause));
    }
    noteLinks(cause);
}

void BackendLinks::noteLinks(const std::string& cause)
{
    const bool isLost = lost();
    if (isLost == std::exchange(lostNoted_, isLost)) {
        return;
    }
    if (isLost) {
        backends_.onLinksLost();
    }
    context_.log(LogLineBuilder("links")
                     .with("change", isLost ? "lost" : "restored")
                     .with("failed_servers", static_cast<std::int64_t>(monitor_.failedServers()))
                     .with("cause", cause));
    context_.gauge("swiftlift_links_lost", isLost ? 1 : 0);
}

} // namespace swiftlift::node
