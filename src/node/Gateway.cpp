#include "node/Gateway.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] routing::TableSettings tableSettings(const CoreSettings& settings)
    {
        routing::TableSettings table;
        table.seed = settings.seed;
        table.polled = false;
        return table;
    }

} // namespace internal

Gateway::Gateway(CoreSettings settings)
    : context_(std::move(settings))
    , pace_(context_.settings().logRates)
    , changes_(context_)
    , peers_(context_)
    , backends_(internal::tableSettings(context_.settings()))
    , loads_(context_, peers_, backends_)
    , fleet_(context_, peers_, health_, backends_, *this)
    , ledgers_(context_, peers_, health_, *this)
    , quarantine_(context_, peers_)
    , links_(context_, peers_, *this, backends_)
    , relayService_(context_, *this, links_, [this] { return closing() || !retiredReason_.empty(); })
    , streamVersions_(
          context_, fleet_, [this](CallId call, const auto& found) { proxyRequests_.onStreamVersion(call, found); })
    , proxyRequests_(
          context_, fleet_, backends_, links_, ledgers_, quarantine_, streamVersions_, [this] { return fleetSize(); })
    , ending_(context_)
{
}

void Gateway::start()
{
    context_.log(LogLineBuilder("start")
                     .with("incarnation", toHex(context_.self().value()))
                     .with("peer", context_.settings().peerAddress.value())
                     .with("domain", context_.settings().domain.value())
                     .with("seed", toHex(context_.settings().seed)));
    fleet_.start();
    proxyRequests_.start();
    quarantine_.start();
    ledgers_.start();
    announceReadiness();
}

void Gateway::finishEvent()
{
    proxyRequests_.finishEvent();
    changes_.noteAnnouncements(backends_.takeAnnouncementChanges());
    changes_.noteTurnedAway(backends_.takeTurnedAway());
    if (backends_.takeUrgentNews()) {
        peers_.sendToAll(heartbeat());
    }
}

void Gateway::onConfig(const fleet::FleetConfig& config)
{
    for (const fleet::Account& account : config.accounts) {
        if (account.budget) {
            ledgers_.of(account.id).fund({ account.id, prepaidBudget() }, *account.budget);
        }
    }
    context_.emit(SetCallerLimits { config.limits });
}

void Gateway::onServerRestarted(const BackendId& server, Instant aliveAt)
{
    proxyRequests_.onServerRestarted(server, aliveAt);
}

void Gateway::onServerSeen(const fleet::BackendServer& server, Instant at)
{
    quarantine_.onServerSeen({ server.id, server.startedAt }, at);
}

std::vector<ReachableServer> Gateway::reachableServers() const
{
    std::vector<ReachableServer> servers;
    for (const auto& [id, server] : fleet_.servers()) {
        servers.push_back(toReachable(server));
    }
    return servers;
}

std::optional<ReachableServer> Gateway::reachableServer(const BackendId& backend) const
{
    const fleet::BackendServer* server = fleet_.server(backend);
    if (server == nullptr) {
        return std::nullopt;
    }
    ReachableServer result = toReachable(*server);
    const auto view = backends_.view(backend, {}, context_.now());
    // A server that asked this VM for rest, or says in its answers that it leaves, gets nothing for other VMs either.
    result.getsRequests
        = result.getsRequests && view && view->state != routing::BackendState::Leaving && !view->resting;
    return result;
}

ReachableServer Gateway::toReachable(const fleet::BackendServer& server) const
{
    const bool getsRequests
        = server.state == fleet::ServerState::Ready && !fleet_.evacuations().evacuations().contains(server.domain);
    return { server.id, server.domain, server.address, getsRequests };
}

std::string Gateway::reasonNotReady() const
{
    if (!retiredReason_.empty()) {
        return "the incarnation ends: " + retiredReason_;
    }
    if (!fleet_.routes()) {
        return "the configuration has not been read yet";
    }
    if (!fleet_.evacuations().known()) {
        return "the evacuations have not been read yet";
    }
    if (!fleet_.serversKnown()) {
        return "the list of backend servers has not been read yet";
    }
    // Without the reports, a restarted fleet would send a request that crashes backend servers to three more of them.
    if (!quarantine_.known()) {
        return "the crash reports have not been read yet";
    }
    // Without the records, a restarted fleet would refuse all streams that are taken up again.
    if (!fleet_.versionRecords().known()) {
        return "the records of streams have not been read yet";
    }
    if (!ledgers_.caughtUp()) {
        return "still reading the ledger to its end";
    }
    return peers_.membership().settled() ? "" : "still waiting for heartbeats of the other routers";
}

bool Gateway::closing() const
{
    return stopRequested_ && context_.now() - *stopRequested_ >= context_.settings().stopAcceptance;
}

std::uint32_t Gateway::routerCount() const
{
    return std::max({ maxRoutersSeen_, static_cast<std::uint32_t>(fleet_.vms()) });
}

void Gateway::on(const ProxyRequestArrived& event)
{
    // Requests are accepted for a while after a stop was requested: the platform's load balancer takes 1 to 2 s to
    // notice the stop, and the callers that it sends until then would be refused without need.
    if (closing()) {
        proxyRequests_.refuseImmediately(
            event.call, event.facts, "stopping", "this VM is stopping: send the request to another VM");
        return;
    }
    if (std::string reason = reasonNotReady(); !reason.empty()) {
        proxyRequests_.refuseImmediately(event.call, event.facts, "not_ready", std::move(reason));
        return;
    }
    proxyRequests_.onArrived(event.call, event.facts, event.at);
}

void Gateway::on(const ProxyAttemptProgress& event) { proxyRequests_.onProgress(event); }
void Gateway::on(const ProxyAttemptEnded& event)
{
    proxyRequests_.onAttemptEnded(event);
    changes_.noteBackend(proxyRequests_.lastEndedBackend(), backends_);
}
void Gateway::on(const ProxyRequestAbandoned& event) { proxyRequests_.onAbandoned(event); }

void Gateway::on(const BackendAnnounced& event)
{
    backends_.onAnnounced(event.backend, event.announcement, context_.now());
    if (event.announcement.rest) {
        changes_.noteRest(event.backend, *event.announcement.rest);
    }
}

void Gateway::noteLogAnswer()
{
    health_.onAnswer(context_.now());
    fleet_.onLogAnswer();
}

void Gateway::on(const KeyedRecords& event)
{
    noteLogAnswer();
    if (event.stream == Ledgers::checkpointStream()) {
        ledgers_.onCheckpoints(event);
    } else if (event.stream == QuarantineCoordinator::stream()) {
        quarantine_.onRecords(event);
    } else {
        fleet_.onRecords(event);
    }
}

void Gateway::on(const LogRecords& event)
{
    noteLogAnswer();
    ledgers_.on(event);
}

void Gateway::on(const LogExpired& event)
{
    noteLogAnswer();
    ledgers_.on(event);
}

void Gateway::onStreamsRead(const std::map<StreamId, SoftwareVersion>& streams) { streamVersions_.onRead(streams); }

void Gateway::on(const LogUnreachable& event)
{
    health_.onFailure();
    changes_.noteLog(false, event.stream.value() + ": " + event.detail);
    notifyQuarantineOfLogAnswer(event.stream);
    if (event.stream == VersionRecords::stream()) {
        fleet_.onVersionsFailed();
    }
    ledgers_.on(event);
}

void Gateway::notifyQuarantineOfLogAnswer(const StreamName& stream)
{
    if (stream == QuarantineCoordinator::stream()) {
        quarantine_.onLogAnswer();
    }
}

void Gateway::on(const AppendAnswered& event)
{
    noteLogAnswer();
    notifyQuarantineOfLogAnswer(event.stream);
    if (event.stream == VersionRecords::stream()) {
        fleet_.onVersionsAppended();
    }
    ledgers_.on(event);
}

void Gateway::on(const PeerReceived& event)
{
    if (event.sender == context_.self()) {
        return;
    }
    if (const auto* received = std::get_if<Heartbeat>(&event.message)) {
        peers_.onHeartbeat(event.sender, event.address, *received);
        links_.onHeartbeat(event.sender, *received);
        backends_.onShared(received->announcements, context_.now());
        fleet_.onPeerConfig(event.sender, received->config, event.arrivedAt.value_or(context_.now()));
        return;
    }
    routePeerMessage(event);
}

void Gateway::routePeerMessage(const PeerReceived& event)
{
    const auto* readAsk = std::get_if<ReadAsk>(&event.message);
    const auto* records = std::get_if<Records>(&event.message);
    if (readAsk != nullptr && FleetDirectory::isExchanged(readAsk->stream)) {
        fleet_.onReadAsk(event.sender, *readAsk);
    } else if (records != nullptr && FleetDirectory::isExchanged(records->stream)) {
        fleet_.onPeerRecords(*records);
    } else if (records != nullptr && records->stream == QuarantineCoordinator::stream()) {
        quarantine_.onPeerRecords(*records);
    } else if (const auto* began = std::get_if<StreamsBegan>(&event.message)) {
        streamVersions_.on(*began);
    } else if (const auto* ask = std::get_if<StreamVersionAsk>(&event.message)) {
        streamVersions_.on(event, *ask);
    } else if (const auto* answer = std::get_if<StreamVersionAnswer>(&event.message)) {
        streamVersions_.on(event, *answer);
    } else if (const auto* report = std::get_if<LoadReport>(&event.message)) {
        loads_.on(event, *report);
    } else if (const auto* digest = std::get_if<LoadDigest>(&event.message)) {
        loads_.on(event, *digest);
    } else if (const auto* relay = std::get_if<RelayAppend>(&event.message)) {
        context_.emit(Append { relay->stream, relay->record, {} });
    } else {
        ledgers_.on(event);
    }
}

void Gateway::on(const StreamEnd& event)
{
    if (event.end) {
        noteLogAnswer();
    }
    fleet_.on(event);
    streamVersions_.onListChecked();
}

void Gateway::on(const OverloadChanged& event)
{
    overloaded_ = event.overloaded;
    context_.gauge("swiftlift_overloaded", overloaded_ ? 1 : 0);
    announceReadiness();
    // The routers of the failure domain decide by this whether they may ask for fewer callers as well.
    peers_.sendToDomain(heartbeat());
}

bool Gateway::overloadLimitReached() const
{
    const auto domain = peers_.membership().domainOverload();
    const std::size_t most = (domain.peers + 1) / overloadedDivisor;
    // Of routers that became overloaded together, those with the lowest incarnations stay so: if all took this back at
    // once, they would all become overloaded again.
    return (overloaded_ ? domain.overloadedBefore : domain.overloaded) >= most;
}

void Gateway::on(const Tick& event)
{
    peers_.membership().onOwnDelay(event.delay, context_.now());
    fleet_.onOwnDelay(event.delay);
    changes_.noteLog(health_.reachable(context_.now()), {});
    refreshWatched();
    for (const Incarnation suspected : peers_.tick([this] { return heartbeat(); })) {
        ledgers_.onSuspected(suspected);
        links_.onSuspected(suspected);
    }
    maxRoutersSeen_ = std::max(maxRoutersSeen_, static_cast<std::uint32_t>(peers_.membership().counts().alive) + 1);
    loads_.tick(stopRequested_ || !retiredReason_.empty());
    fleet_.tick(stopRequested_.has_value());
    quarantine_.tick();
    links_.tick();
    streamVersions_.tick();
    proxyRequests_.tick();
    ledgers_.tick(closing());
    backends_.tick(context_.now());
    announceReadiness();
    const bool ending = closing() || !retiredReason_.empty();
    if (ending) {
        const std::size_t inProgress = proxyRequests_.inProgress() + relayService_.inProgress();
        ending_.tick(closing(), retiredReason_, { inProgress, ledgers_.drained(), ledgers_.unread() });
    }
}

void Gateway::announceReadiness()
{
    const std::string reason = reasonNotReady();
    const bool ready = reason.empty() && !stopRequested_;
    const bool close = stopRequested_.has_value();
    const AnnounceReadiness next { ready, close, closing(), overloadLimitReached() };
    if (announced_ == next) {
        return;
    }
    const bool onlyLimitChanged = announced_ && announced_->ready == ready && announced_->closing == close
        && announced_->refusing == next.refusing;
    announced_ = next;
    if (onlyLimitChanged) {
        context_.emit(next);
        return;
    }
    context_.log(LogLineBuilder("ready").with("ready", ready).with("reason", stopRequested_ ? "stopping" : reason));
    context_.gauge("swiftlift_ready", ready ? 1 : 0);
    context_.emit(*announced_);
}

void Gateway::refreshWatched()
{
    if (context_.now() < nextWatched_) {
        return;
    }
    nextWatched_ = context_.now() + watchedPeriod;
    context_.emit(ReportLogCalls {});
    paceLogCalls();
    changes_.removeUnknown(backends_);
    changes_.countAnnouncements(backends_.announcementCounts(context_.now()));
    peers_.membership().setWatched(ledgers_.watched(), context_.now());
    context_.gauge("swiftlift_log_reachable", health_.reachable(context_.now()) ? 1 : 0);
}

void Gateway::paceLogCalls()
{
    fleet_.paceLogCalls(pace_, routerCount());
    ledgers_.paceLogCalls(pace_, routerCount());
}

void Gateway::on(const StopRequested& event)
{
    if (stopRequested_) {
        return;
    }
    stopRequested_ = event.at.value_or(context_.now());
    if (context_.settings().stopWork > Duration {}) {
        proxyRequests_.onStop(*stopRequested_ + context_.settings().stopWork);
    }
    context_.log(LogLineBuilder("stop")
                     .with("in_progress", static_cast<std::int64_t>(proxyRequests_.inProgress()))
                     .with("reason", "asked"));
    announceReadiness();
}

void Gateway::on(const OperatorAsked& event) { context_.emit(OperatorReply { event.question, statusText() }); }

std::string Gateway::statusText() const
{
    const auto counts = peers_.membership().counts();
    const std::string reason = reasonNotReady();
    const routing::AnnouncementCounts announced = backends_.announcementCounts(context_.now());
    nlohmann::json evacuated = nlohmann::json::array();
    for (const FailureDomain& domain : fleet_.evacuations().evacuations().domains()) {
        evacuated.push_back(domain.value());
    }
    return nlohmann::json {
        { "incarnation", toHex(context_.self().value()) }, { "peer", context_.settings().peerAddress.value() },
        { "domain", context_.settings().domain.value() }, { "ready", reason.empty() }, { "reason", reason },
        { "stopping", stopRequested_.has_value() }, { "log_reachable", health_.reachable(context_.now()) },
        { "in_progress", proxyRequests_.inProgress() }, { "peers_alive", counts.alive },
        { "config_version", fleet_.routes() ? fleet_.routes()->config().version : 0 }, { "evacuated", evacuated },
        { "cold_servers", fleet_.coldServers() }, { "limited_servers", announced.limited },
        { "resting_servers", announced.resting }, { "brittle_servers", announced.brittle },
        { "links_lost", links_.lost() }, { "overloaded", overloaded_ },
        { "config_may_be_outdated", fleet_.mayBeOutdated() }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Gateway::onTokensAvailable(const BudgetRef& budget) { proxyRequests_.onTokensAvailable(budget); }

void Gateway::onRetired(const std::string& reason)
{
    if (!retiredReason_.empty()) {
        return;
    }
    retiredReason_ = reason.empty() ? "retired" : reason;
    context_.log(LogLineBuilder("retired").with("reason", retiredReason_));
}

Heartbeat Gateway::heartbeat() const
{
    Heartbeat own;
    own.domain = context_.settings().domain;
    own.region = context_.settings().region;
    own.stopping = stopRequested_ || !retiredReason_.empty();
    own.logReachable = health_.reachable(context_.now());
    own.announcements = backends_.toShare(context_.now());
    own.relay = context_.settings().relayAddress;
    own.unreachableDomains = links_.unreachableDomainsForPeers();
    own.overloaded = overloaded_;
    own.config = fleet_.configState();
    own.bandwidth = context_.settings().bandwidth;
    return own;
}

} // namespace swiftlift::node
