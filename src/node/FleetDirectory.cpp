#include "node/FleetDirectory.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::node {

namespace internal {

    const std::string configKey = "config";

    [[nodiscard]] const char* changeOf(const fleet::BackendServer& server, bool newInstance)
    {
        if (server.state != fleet::ServerState::Ready) {
            return "leaving";
        }
        return newInstance ? "started_again" : "registered";
    }

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
    , evacuations_(context, peers, unreadable_)
    , vms_(context, peers)
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
        // The shares of cold servers depend on the list of VMs.
        if (!cold_.empty()) {
            publishBackends();
        }
        return;
    }
    applyOperatorRecords(records);
}

void FleetDirectory::applyOperatorRecords(const KeyedRecords& records)
{
    applyEvacuations(evacuations_.onRecords(records));
    confirmedAt_ = context_.now();
    for (const KeyedRecord& record : records.records) {
        if (record.key == internal::configKey && record.value) {
            applyConfig(record.offset, *record.value, "log");
        }
    }
}

// A VM whose processor or network link is saturated may read no configuration for half a minute. Without this check it
// would answer requests for new routes and keys with 404 and 401, logged with an old configuration version.
bool FleetDirectory::confirmed() const { return confirmedAt_ && context_.now() - *confirmedAt_ < confirmationLifetime; }

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

// The servers of a domain may have lost their caches and become cold during its evacuation, which their entries may
// show only after requests go there again.
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

void FleetDirectory::applyServers(const KeyedRecords& records)
{
    if (records.whole) {
        std::set<BackendId> present;
        for (const KeyedRecord& record : records.records) {
            present.insert(BackendId { record.key });
        }
        for (const UnreadableRecord& record : records.unreadable) {
            present.insert(BackendId { record.key });
        }
        for (const auto& [id, server] : servers_) {
            if (!present.contains(id)) {
                missing_.try_emplace(id, context_.now());
            }
        }
        serversKnown_ = true;
    }
    const Instant readBefore = std::exchange(serversReadAt_, context_.now());
    for (const KeyedRecord& record : records.records) {
        applyServer(record, readBefore);
    }
    if (records.whole) {
        warmup_.onAllListed();
    }
    notifyServersSeen(records, readBefore);
    static_cast<void>(removeMissing());
    publishBackends();
}

// The entries of a complete list may be arbitrarily old, so they do not show that a server runs.
void FleetDirectory::notifyServersSeen(const KeyedRecords& records, Instant readBefore)
{
    if (records.whole) {
        return;
    }
    for (const KeyedRecord& record : records.records) {
        const fleet::BackendServer* seen = record.value ? server(BackendId { record.key }) : nullptr;
        if (seen != nullptr) {
            listener_.onServerSeen(*seen, readBefore - readLag);
        }
    }
}

void FleetDirectory::applyServer(const KeyedRecord& record, Instant readBefore)
{
    const BackendId id { record.key };
    if (!record.value) {
        missing_.try_emplace(id, context_.now());
        return;
    }
    Findings findings;
    auto server = context_.settings().fleetCodec->server(record.key, *record.value, findings);
    if (!server) {
        unreadable_.add("server", record.key, findings);
        return;
    }
    const auto known = servers_.find(id);
    // A record of a previous instance may arrive late. Applying it would restore an outdated address or state.
    if (known != servers_.end() && server->startedAt < known->second.startedAt) {
        return;
    }
    missing_.erase(id);
    warmup_.onEntry(*server, warmupDurationOf(server->service), context_.now());
    const Instant aliveAt = std::exchange(aliveAt_[id], readBefore);
    // The remaining time is different in each entry of a cold server.
    server->warmupLeft = {};
    if (known != servers_.end() && known->second == *server) {
        return;
    }
    const bool newInstance
        = known != servers_.end() && known->second.startedAt != 0 && server->startedAt > known->second.startedAt;
    context_.log(LogLineBuilder("backend")
                     .with("backend", id.value())
                     .with("change", internal::changeOf(*server, newInstance))
                     .with("started_at", static_cast<std::int64_t>(server->startedAt))
                     .with("address", server->address.value())
                     .with("service", server->service.value())
                     .with("domain", server->domain.value())
                     .with("offset", static_cast<std::int64_t>(record.offset.value())));
    servers_[id] = std::move(*server);
    if (newInstance) {
        listener_.onServerRestarted(id, aliveAt);
    }
}

bool FleetDirectory::isMajorityMissing(const ServiceName& service) const
{
    std::size_t registered = 0;
    std::size_t missing = 0;
    for (const auto& [id, server] : servers_) {
        if (server.service == service && server.state == fleet::ServerState::Ready) {
            ++(missing_.contains(id) ? missing : registered);
        }
    }
    return missing > registered;
}

bool FleetDirectory::removeMissing()
{
    bool removed = false;
    for (auto entry = missing_.begin(); entry != missing_.end();) {
        const auto server = servers_.find(entry->first);
        const bool known = server != servers_.end();
        const bool keep
            = known && isMajorityMissing(server->second.service) && context_.now() - entry->second < missingGracePeriod;
        if (keep) {
            ++entry;
            continue;
        }
        if (known) {
            context_.log(LogLineBuilder("backend")
                             .with("backend", entry->first.value())
                             .with("change", "unregistered")
                             .with("missing_ms", toMilliseconds(context_.now() - entry->second)));
            servers_.erase(server);
            warmup_.onRemoved(entry->first);
            aliveAt_.erase(entry->first);
            removed = true;
        }
        entry = missing_.erase(entry);
    }
    return removed;
}

void FleetDirectory::publishBackends()
{
    noteColdServers();
    std::map<ServiceName, std::vector<routing::BackendEntry>> services;
    for (const ServiceName& service : published_) {
        services[service];
    }
    for (const auto& [id, server] : servers_) {
        if (server.state == fleet::ServerState::Ready) {
            services[server.service].push_back({ id, server.domain, server.slots, server.startedAt,
                evacuations_.evacuations().contains(server.domain), warmupLimit(server) });
        }
    }
    published_.clear();
    for (const auto& [service, entries] : services) {
        backends_.setBackends(service, entries, context_.now());
        if (!entries.empty()) {
            published_.insert(service);
        }
    }
}

const fleet::WarmupFacts* FleetDirectory::warmupOf(const ServiceName& service) const
{
    const fleet::Service* found = routes_ ? routes_->service(service) : nullptr;
    return found != nullptr && found->warmup ? &*found->warmup : nullptr;
}

Duration FleetDirectory::warmupDurationOf(const ServiceName& service) const
{
    const fleet::WarmupFacts* warmup = warmupOf(service);
    return warmup != nullptr ? warmup->duration : Duration {};
}

std::optional<routing::WarmupLimit> FleetDirectory::warmupLimit(const fleet::BackendServer& server) const
{
    const fleet::WarmupFacts* warmup = warmupOf(server.service);
    if (warmup == nullptr) {
        return std::nullopt;
    }
    const auto coldUntil = warmup_.coldUntil(server.id, context_.now());
    if (!coldUntil) {
        return routing::WarmupLimit {};
    }
    return routing::WarmupLimit { *coldUntil,
        routing::warmupShare(warmup->requestsPerSecond, server.id, context_.settings().peerAddress, vms_.addresses()) };
}

void FleetDirectory::noteColdServers()
{
    std::set<BackendId> cold;
    for (const auto& [id, server] : servers_) {
        if (warmup_.coldUntil(id, context_.now())) {
            cold.insert(id);
        }
    }
    if (cold == cold_) {
        return;
    }
    for (const auto& [id, server] : servers_) {
        if (cold.contains(id) != cold_.contains(id)) {
            context_.log(LogLineBuilder("backend")
                             .with("backend", id.value())
                             .with("change", cold.contains(id) ? "cold" : "warm")
                             .with("service", server.service.value())
                             .with("domain", server.domain.value()));
        }
    }
    cold_ = std::move(cold);
    context_.gauge("swiftlift_cold_servers", static_cast<double>(cold_.size()));
}

const fleet::BackendServer* FleetDirectory::server(const BackendId& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

void FleetDirectory::tick(bool stopping)
{
    const Instant now = context_.now();
    if (!health_.reachable(now)) {
        requestFromPeer();
    } else if (removeMissing()) {
        publishBackends();
    }
    vms_.tick(stopping);
}

void FleetDirectory::paceReads(const LogPace& pace, std::uint32_t routers)
{
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
    nextReadAsk_ = now + readAskPeriod;
    if (const auto peer = peers_.bestReader()) {
        const Offset from { routes_ ? configOffset_.value() + 1 : 0 };
        peers_.send(*peer, ReadAsk { configStream(), from });
        evacuations_.askPeer(*peer);
    }
}

bool FleetDirectory::isExchanged(const StreamName& stream)
{
    return stream == configStream() || stream == EvacuationDirectory::peerStream();
}

void FleetDirectory::onReadAsk(Incarnation from, const ReadAsk& ask)
{
    if (ask.stream == EvacuationDirectory::peerStream()) {
        evacuations_.onReadAsk(from, ask.from);
        return;
    }
    if (routes_ && configOffset_ >= ask.from) {
        peers_.send(from, Records { configStream(), configOffset_, { configText_ } });
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
