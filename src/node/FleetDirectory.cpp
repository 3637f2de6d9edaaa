#include "node/FleetDirectory.h"

#include <algorithm>
#include <utility>

namespace swiftlift::node {

namespace internal {

    const std::string configKey = "config";

} // namespace internal

const StreamName& FleetDirectory::configStream()
{
    static const StreamName name { "fleet-config" };
    return name;
}

const StreamName& FleetDirectory::serverStream()
{
    static const StreamName name { "backend-servers" };
    return name;
}

FleetDirectory::FleetDirectory(
    Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends, FleetListener& listener)
    : context_(context)
    , peers_(peers)
    , health_(health)
    , backends_(backends)
    , listener_(listener)
    , unreadable_(context)
    , serverCheck_(context, serverStream())
    , evacuations_(context, peers, unreadable_)
    , vms_(context, peers)
    , versionRecords_(context)
{
}

void FleetDirectory::start()
{
    context_.emit(Follow { configStream(), {}, StreamKind::Keyed, {} });
    context_.emit(Follow { serverStream(), {}, StreamKind::Keyed, serverReadPause_ });
    vms_.start();
}

void FleetDirectory::onRecords(const KeyedRecords& records)
{
    for (const UnreadableRecord& record : records.unreadable) {
        unreadable_.add(records.stream.value().c_str(), record.key, record.reason);
    }
    if (records.stream == serverStream()) {
        applyServers(records);
        return;
    }
    if (records.stream == VmRegistry::stream()) {
        vms_.onRecords(records);
        backends_.setRouters(context_.settings().peerAddress, vms_.addresses(), context_.now());
        return;
    }
    if (records.stream == VersionRecords::stream()) {
        applyVersionRecords(records);
        return;
    }
    applyOperatorRecords(records);
}

void FleetDirectory::on(const StreamEnd& event)
{
    if (event.stream == serverStream()) {
        serverCheck_.on(event);
    }
}

void FleetDirectory::applyOperatorRecords(const KeyedRecords& records)
{
    applyEvacuations(evacuations_.onRecords(records));
    // A part of the changes says that there are newer ones, not that the last of them is the newest.
    if (records.reachesEnd) {
        confirm(std::min(records.readAt.value_or(context_.now()), context_.now()));
    }
    for (const KeyedRecord& record : records.records) {
        if (record.key == internal::configKey && record.value) {
            applyConfig(record.offset, *record.value, "log");
        }
    }
}

// A VM whose processor or network link is saturated may read no configuration for half a minute. Without this check it
// would answer requests for new routes and keys with 404 and 401, logged with an old configuration version.
bool FleetDirectory::confirmed() const { return confirmedAt_ && context_.now() - *confirmedAt_ < confirmationLifetime; }

bool FleetDirectory::mayBeOutdated() const
{
    if (!confirmedAt_ || context_.now() - *confirmedAt_ < maxConfirmationAge) {
        return false;
    }
    // In an outage of the log no configuration is accepted. While it answers other calls, it may accept one, and peers
    // that miss the same reads know as little of it as this router.
    const bool logAnswers = context_.now() - lastLogAnswerAt_ < logAnswerLifetime;
    if (logAnswers && unconfirmedSince_
        && context_.now() - *unconfirmedSince_ >= maxConfirmationAge - confirmationLifetime) {
        return true;
    }
    const bool lagging = lastLagAt_ && context_.now() - *lastLagAt_ < lagHoldTime;
    // Peers that are heard would have told of a newer configuration, even if none of them reaches the log.
    const bool hearsPeers = peersHeardAt_ && context_.now() - *peersHeardAt_ < maxConfirmationAge;
    return superseded() || (lagging && !hearsPeers);
}

void FleetDirectory::onLogAnswer()
{
    // What was unconfirmed before an outage of the log says nothing about the time after it.
    if (context_.now() - std::exchange(lastLogAnswerAt_, context_.now()) >= logAnswerLifetime) {
        unconfirmedSince_.reset();
    }
    if (!unconfirmedSince_ && confirmedAt_ && !confirmed()) {
        unconfirmedSince_ = context_.now();
    }
}

void FleetDirectory::confirm(Instant at)
{
    confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
    if (confirmed()) {
        unconfirmedSince_.reset();
    }
}

bool FleetDirectory::superseded() const
{
    return newer_.version > version() && (!confirmedAt_ || *confirmedAt_ < newer_.readAt);
}

ConfigState FleetDirectory::configState() const
{
    return { version(), confirmedAt_ ? std::optional(context_.now() - *confirmedAt_) : std::nullopt };
}

void FleetDirectory::onOwnDelay(Duration delay)
{
    if (delay > lagThreshold) {
        lastLagAt_ = context_.now();
    }
}

// A read of the log that hangs takes 1.8 s until its timeout, and one that is turned away is repeated after up to half
// a second. With heartbeats of several peers a second, a newer configuration is noticed earlier.
void FleetDirectory::onPeerConfig(Incarnation from, const ConfigState& config, Instant at)
{
    if (!routes_ || !config.age) {
        return;
    }
    peersHeardAt_ = std::max(peersHeardAt_.value_or(at), at);
    const Instant readAt = at - *config.age;
    if (config.version == version()) {
        confirm(readAt - maxTransitTime);
    } else if (config.version > std::max(version(), newer_.version)) {
        newer_ = { config.version, from, readAt };
    }
}

void FleetDirectory::applyConfig(Offset offset, const std::string& text, const char* source)
{
    Findings findings;
    auto config = context_.settings().fleetCodec->config(text, findings);
    if (!config) {
        unreadable_.add("config", internal::configKey, findings);
        return;
    }
    // Records of an older configuration arrive when a reader restarts, or from a peer that has read less. Applying one
    // would restore routes and keys that have been withdrawn.
    if (routes_ && config->version <= routes_->config().version) {
        return;
    }
    configOffset_ = offset;
    configText_ = text;
    sentTo_.clear();
    context_.log(LogLineBuilder("config")
                     .with("change", "in_force")
                     .with("version", static_cast<std::int64_t>(config->version))
                     .with("source", source)
                     .with("routes", static_cast<std::int64_t>(config->routes.size()))
                     .with("accounts", static_cast<std::int64_t>(config->accounts.size())));
    routes_ = std::make_shared<const fleet::RouteTable>(std::move(*config));
    publishBackends();
    listener_.onConfig(routes_->config());
}

// The servers of a domain may have become cold during its evacuation, and their entries may say so too late.
void FleetDirectory::applyEvacuations(const std::vector<fleet::EvacuationChange>& changes)
{
    if (changes.empty()) {
        return;
    }
    std::set<FailureDomain> ended;
    for (const fleet::EvacuationChange& change : changes) {
        if (!change.evacuated) {
            ended.insert(change.domain);
        }
    }
    for (const auto& [id, server] : servers_) {
        if (ended.contains(server.domain)) {
            warmup_.onTurnedCold(id, warmupDurationOf(server.service), context_.now());
        }
    }
    publishBackends();
}

void FleetDirectory::tick(bool stopping)
{
    const Instant now = context_.now();
    if (!health_.reachable(now)) {
        requestFromPeer();
    } else {
        if (superseded()) {
            requestFromPeer();
        }
        if (removeMissing()) {
            publishBackends();
        }
    }
    if (publicationOverdue()) {
        publishBackends();
    }
    sendToAskers();
    versionRecords_.tick(recordPeriod_);
    serverCheck_.tick();
    vms_.tick(stopping);
}

void FleetDirectory::paceLogCalls(const LogPace& pace, std::uint32_t routers)
{
    serverCheck_.setPeriod(pace.checkPeriod(ListCheck::minPeriod, routers));
    recordPeriod_ = recordRateDivisor * pace.appendPeriod(minRecordPeriod / recordRateDivisor, routers);
    const Duration pause = pace.serversPause(minServerReadPause, routers);
    if (std::exchange(serverReadPause_, pause) != pause) {
        context_.emit(PaceReads { serverStream(), pause });
    }
}

void FleetDirectory::requestFromPeer()
{
    const Instant now = context_.now();
    if (now < nextReadAsk_) {
        return;
    }
    if (const auto peer = superseded() ? std::optional(newer_.from) : peers_.bestReader()) {
        nextReadAsk_ = now + readAskPeriod;
        const Offset from { routes_ ? configOffset_.value() + 1 : 0 };
        peers_.send(*peer, ReadAsk { configStream(), from });
        evacuations_.askPeer(*peer);
    }
}

bool FleetDirectory::isExchanged(const StreamName& stream)
{
    return stream == configStream() || stream == EvacuationDirectory::peerStream();
}

// All routers of a large fleet may ask the few that have a new configuration, several times a second until they have
// it. If each were sent the text at once, the asked routers' links would carry nothing else, and their callers would
// time out.
Duration FleetDirectory::timeToSend(std::size_t bytes) const
{
    constexpr double bytesPerMegabit = 125'000;
    const double bytesPerSecond = context_.settings().bandwidth * bytesPerMegabit * configShareOfLink;
    if (bytesPerSecond <= 0) {
        return {};
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
}

void FleetDirectory::onReadAsk(Incarnation from, const ReadAsk& ask)
{
    if (ask.stream == EvacuationDirectory::peerStream()) {
        evacuations_.onReadAsk(from, ask.from);
        return;
    }
    if (!routes_ || configOffset_ < ask.from) {
        return;
    }
    const auto sent = sentTo_.find(from);
    const bool underWay = sent != sentTo_.end() && context_.now() - sent->second < textTransitTime;
    if (!underWay && std::ranges::find(askers_, from) == askers_.end()) {
        askers_.push_back(from);
    }
    sendToAskers();
}

void FleetDirectory::sendToAskers()
{
    const Instant now = context_.now();
    while (!askers_.empty() && now >= nextConfigText_) {
        const Incarnation peer = askers_.front();
        askers_.pop_front();
        nextConfigText_ = now + timeToSend(configText_.size());
        sentTo_[peer] = now;
        peers_.send(peer, Records { configStream(), configOffset_, { configText_ } });
    }
}

void FleetDirectory::onPeerRecords(const Records& records)
{
    if (records.stream == EvacuationDirectory::peerStream()) {
        applyEvacuations(evacuations_.onPeerRecords(records));
    } else if (!records.records.empty()) {
        applyConfig(records.first, records.records.front(), "peer");
    }
}

} // namespace swiftlift::node
