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
    noteLinks(lost() ? "no connection was made since the last failures" : "no connection has failed for some time");
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
    if (auto relay = relays_.choose(domain, history.failedRelays, history.doubtfulRelays)) {
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
    if (history.relay) {
        relays_.onReached(*history.relay);
    } else {
        monitor_.onAnswered(domain);
    }
}

ServerEvidence BackendLinks::onEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence)
{
    return history.relay ? onRelayedEnded(history, attempt, evidence) : onOwnEnded(history, attempt, evidence);
}

ServerEvidence BackendLinks::onRelayedEnded(
    LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence)
{
    const PeerAddress& peer = *history.relay;
    relays_.onEnded(peer);
    if (evidence.failure == ConnectFailure::Relay) {
        relays_.onFailed(peer);
        history.failedRelays.insert(peer);
        return ServerEvidence::None;
    }
    if (evidence.failure == ConnectFailure::Declined) {
        return ServerEvidence::Doubtful;
    }
    if (evidence.failure != ConnectFailure::None && !relays_.onServerUnreachable(peer, attempt.backend)) {
        history.doubtfulRelays.insert(peer);
        return ServerEvidence::Doubtful;
    }
    if (evidence.answered) {
        relays_.onReached(peer);
    }
    return ServerEvidence::Conclusive;
}

ServerEvidence BackendLinks::onOwnEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence)
{
    if (evidence.failure == ConnectFailure::Relay) {
        return ServerEvidence::None;
    }
    const std::string cause = "request " + attempt.request + " at " + attempt.backend.value();
    if (evidence.failure != ConnectFailure::None) {
        history.connectFailed = true;
        onConnectFailed(attempt.domain, attempt.backend, evidence.failure, cause);
        return lost() ? ServerEvidence::None : ServerEvidence::Conclusive;
    }
    if (evidence.answered) {
        updateDomain(
            attempt.domain, [&] { monitor_.onAnswered(attempt.domain); }, cause);
    }
    return ServerEvidence::Conclusive;
}

void BackendLinks::onRelayedConnectFailed(const BackendId& backend, ConnectFailure failure)
{
    if (const auto server = servers_.reachableServer(backend)) {
        onConnectFailed(server->domain, backend, failure, "relayed connection to " + backend.value());
    }
}

void BackendLinks::onConnectFailed(
    const FailureDomain& domain, const BackendId& backend, ConnectFailure failure, const std::string& cause)
{
    const auto record = [&] {
        if (failure == ConnectFailure::Closed) {
            monitor_.onClosed(domain, backend, context_.now());
        } else {
            monitor_.onUnreachable(domain, backend, context_.now());
        }
    };
    updateDomain(domain, record, cause);
    sendProbes();
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
