#include "node/CoreState.h"

#include <chrono>
#include <utility>

#include "node/OperatorView.h"

namespace swiftlift::node {

namespace internal {

    constexpr Duration notReadyRetryAfter = std::chrono::seconds(1);

} // namespace internal

CoreState::CoreState(CoreSettings settings)
    : context_(std::move(settings))
    , changes_(context_)
    , peers_(context_)
    , links_(context_, peers_, *this, backends_)
    , relayService_(context_, *this, links_, [this] { return stopping_ || retired(); })
    , services_(context_, peers_, health_, backends_,
          [this](const settings::ServiceDocument& document) { onServiceInForce(document); })
    , placement_(context_, health_, services_, backends_)
    , ledgers_(context_, peers_, health_, *this)
    , requests_(
          context_, services_, backends_, links_,
          [this](const AccountId& account) -> ShardLedger& { return ledgers_.of(account); },
          [this](const std::string& model) { placement_.onUnserved(model); })
    , ending_(context_)
{
}

void CoreState::start()
{
    context_.log(LogLineBuilder("start")
                     .with("incarnation", toHex(context_.self().value()))
                     .with("peer", context_.settings().peerAddress.value())
                     .with("domain", context_.settings().domain.value())
                     .with("seed", toHex(context_.settings().seed)));
    services_.start();
    placement_.start();
    ledgers_.start();
}

bool CoreState::ready() const
{
    return !retired() && services_.caughtUp() && peers_.membership().settled() && ledgers_.caughtUp();
}

void CoreState::on(const RequestArrived& event)
{
    if (stopping_) {
        requests_.refuseImmediately(event.call, event.request,
            { 503, "stopping", "this VM is stopping: send the request to another VM", Duration {} });
        return;
    }
    if (!ready()) {
        requests_.refuseImmediately(event.call, event.request,
            { 503, "not_ready", retired() ? retiredReason_ : "this router is still reading the log",
                internal::notReadyRetryAfter });
        return;
    }
    requests_.arrive(event.call, event.request);
}

void CoreState::on(const CallerDisconnected& event) { requests_.callerDisconnected(event.call); }
void CoreState::on(const AttemptProgress& event) { requests_.onProgress(event); }
void CoreState::on(const AttemptEnded& event) { requests_.onAttemptEnded(event); }

void CoreState::on(const LogRecords& event)
{
    health_.onAnswer(context_.now());
    if (event.stream == Services::stream()) {
        services_.onRecords(event);
    } else if (event.stream == placement_.stream()) {
        placement_.onRecords(event);
    } else {
        ledgers_.on(event);
    }
}

void CoreState::on(const LogExpired& event)
{
    health_.onAnswer(context_.now());
    if (event.stream == Services::stream()) {
        services_.onExpired(event.oldest);
    } else if (event.stream == placement_.stream()) {
        placement_.onExpired(event.oldest);
    } else {
        ledgers_.on(event);
    }
}

void CoreState::on(const LogUnreachable& event)
{
    health_.onFailure();
    changes_.noteLog(false, event.detail);
    if (event.stream == placement_.stream()) {
        placement_.onAppendEnded();
    } else {
        ledgers_.on(event);
    }
}

void CoreState::on(const AppendAnswered& event)
{
    health_.onAnswer(context_.now());
    if (event.stream == placement_.stream()) {
        placement_.onAppendEnded();
    } else {
        ledgers_.on(event);
    }
}

void CoreState::on(const PeerReceived& event)
{
    if (event.sender == context_.self()) {
        return;
    }
    if (const auto* receivedHeartbeat = std::get_if<Heartbeat>(&event.message)) {
        peers_.onHeartbeat(event.sender, event.address, *receivedHeartbeat);
        links_.onHeartbeat(event.sender, *receivedHeartbeat);
        backends_.onShared(receivedHeartbeat->announcements, context_.now());
        return;
    }
    routePeerMessage(event);
}

void CoreState::routePeerMessage(const PeerReceived& event)
{
    const auto* ask = std::get_if<ReadAsk>(&event.message);
    const auto* records = std::get_if<Records>(&event.message);
    if (ask != nullptr && ask->stream == Services::stream()) {
        services_.onReadAsk(event.sender, ask->from);
    } else if (records != nullptr && records->stream == Services::stream()) {
        services_.onPeerRecords(*records);
    } else if (const auto* relay = std::get_if<RelayAppend>(&event.message)) {
        context_.emit(Append { relay->stream, relay->record });
    } else {
        ledgers_.on(event);
    }
}

void CoreState::on(const VmListRead& event)
{
    peers_.onVmList(event.vms);
    std::vector<PeerAddress> routers;
    for (const ListedVm& vm : event.vms) {
        routers.push_back(vm.address);
    }
    backends_.setRouters(context_.settings().peerAddress, std::move(routers), context_.now());
    if (peers_.membership().selfLeaving() && !stopping_) {
        context_.log(LogLineBuilder("membership").with("change", "self_leaving").with("detail", "listed as leaving"));
        on(StopRequested {});
    }
}

void CoreState::on(const BackendLoad& event)
{
    if (!event.reachable) {
        links_.on(BackendsSilent {});
        if (!links_.lost()) {
            backends_.onLoadMissed(event.backend, context_.now());
        }
        changes_.noteBackend(event.backend, backends_);
        placement_.onLoad(event);
        return;
    }
    const auto step
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(event.stepMilliseconds));
    routing::LoadReport report { event.running, event.waiting, step, event.models, event.leaving, event.generation };
    backends_.onLoad(event.backend, report, context_.now());
    changes_.noteBackend(event.backend, backends_);
    placement_.onLoad(event);
}

void CoreState::on(const BackendAnnounced& event)
{
    backends_.onAnnounced(event.backend, event.announcement, context_.now());
    if (event.announcement.rest) {
        changes_.noteRest(event.backend, *event.announcement.rest);
    }
}

void CoreState::on(const CacheEventsRead& event)
{
    std::vector<routing::CacheNotice> notices;
    notices.reserve(event.events.size());
    for (const auto& cacheEvent : event.events) {
        const bool stored = cacheEvent.kind == CacheEventKind::Stored;
        notices.push_back({ cacheEvent.sequence, stored ? routing::CacheChange::Stored : routing::CacheChange::Evicted,
            cacheEvent.prefixHash });
    }
    backends_.onCacheEvents(event.backend, notices, context_.now());
}

void CoreState::on(const OrderAnswered& event) { placement_.onOrderAnswered(event); }

void CoreState::on(const Tick& event)
{
    peers_.membership().onOwnDelay(event.delay, context_.now());
    changes_.noteLog(health_.reachable(context_.now()), {});
    refreshWatched();
    for (const Incarnation suspected : peers_.tick([this] { return heartbeat(); })) {
        ledgers_.onSuspected(suspected);
        links_.onSuspected(suspected);
    }
    links_.tick();
    services_.tick();
    placement_.tick(ready() && !stopping_);
    requests_.tick();
    ledgers_.tick(stopping_ && requests_.inProgress() == 0);
    context_.gauge("swiftlift_ready", ready() ? 1 : 0);
    context_.gauge("swiftlift_log_reachable", health_.reachable(context_.now()) ? 1 : 0);
    const std::size_t inProgress = requests_.inProgress() + relayService_.inProgress();
    ending_.tick(stopping_, retiredReason_, { inProgress, ledgers_.drained(), ledgers_.unread() });
}

void CoreState::refreshWatched()
{
    if (context_.now() < nextWatched_) {
        return;
    }
    nextWatched_ = context_.now() + watchedPeriod;
    changes_.removeUnknown(backends_);
    changes_.countAnnouncements(backends_.announcementCounts(context_.now()));
    peers_.membership().setWatched(ledgers_.watched(), context_.now());
}

void CoreState::on(const StopRequested&)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    context_.log(LogLineBuilder("stop")
                     .with("in_progress", static_cast<std::int64_t>(requests_.inProgress()))
                     .with("reason", "asked"));
}

void CoreState::on(const OperatorAsked& event)
{
    context_.emit(OperatorReply { event.question, answerOperator(*this, event) });
}

void CoreState::onClaimDecided(const RequestKey& key, Incarnation owner) { requests_.onClaimDecided(key, owner); }
void CoreState::onTokensAvailable(const BudgetRef& budget) { requests_.onTokensAvailable(budget); }

void CoreState::onServiceInForce(const settings::ServiceDocument& document)
{
    const bool refusals = document.weighting == settings::Weighting::Refusals;
    const auto weighting = refusals ? ledger::Weighting::Refusals : ledger::Weighting::Overspend;
    for (const auto& use : document.accounts) {
        ledgers_.of(use.account).setWeighting({ use.account, use.budget }, weighting);
    }
}

void CoreState::onRetired(const std::string& reason)
{
    if (retired()) {
        return;
    }
    retiredReason_ = reason.empty() ? "retired" : reason;
    context_.log(LogLineBuilder("retired").with("reason", retiredReason_));
}

void CoreState::beginEvent()
{
    const Instant now = context_.now();
    if (lastEvent_ && now - *lastEvent_ > pauseThreshold) {
        requests_.onSelfPaused();
    }
    lastEvent_ = now;
}

void CoreState::finishEvent()
{
    requests_.finishEvent();
    changes_.noteAnnouncements(backends_.takeAnnouncementChanges());
    changes_.noteTurnedAway(backends_.takeTurnedAway());
    if (backends_.takeUrgentNews()) {
        peers_.sendToAll(heartbeat());
    }
}

std::vector<ReachableServer> CoreState::reachableServers() const
{
    std::vector<ReachableServer> servers;
    for (const BackendId& backend : backends_.backends()) {
        if (auto server = reachableServer(backend)) {
            servers.push_back(std::move(*server));
        }
    }
    return servers;
}

std::optional<ReachableServer> CoreState::reachableServer(const BackendId& backend) const
{
    const auto view = backends_.view(backend, {}, context_.now());
    if (!view) {
        return std::nullopt;
    }
    const bool getsRequests = view->state != routing::BackendState::Leaving
        && view->state != routing::BackendState::Evacuated && !view->resting;
    return ReachableServer { backend, view->domain, BackendAddress(backend.value()), getsRequests };
}

Heartbeat CoreState::heartbeat() const
{
    Heartbeat own;
    own.domain = context_.settings().domain;
    own.region = context_.settings().region;
    own.stopping = stopping_ || retired();
    own.logReachable = health_.reachable(context_.now());
    own.announcements = backends_.toShare(context_.now());
    own.relay = context_.settings().relayAddress;
    own.unreachableDomains = links_.unreachableDomainsForPeers();
    for (const auto& shard : ledgers_.all()) {
        own.positions.push_back({ shard->stream(), shard->fold().nextOffset() });
    }
    own.positions.push_back({ Services::stream(), services_.fold().nextOffset() });
    return own;
}

} // namespace swiftlift::node
