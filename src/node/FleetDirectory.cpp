#include "node/FleetDirectory.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::node {

namespace internal {

    const std::string configKey = "config";

    [[nodiscard]] std::string encodeVm(const CoreSettings& settings)
    {
        return nlohmann::json { { "domain", settings.domain.value() }, { "region", settings.region.value() } }.dump();
    }

    [[nodiscard]] std::optional<ListedVm> decodeVm(const std::string& address, const std::string& text)
    {
        const auto json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object() || !json.contains("domain") || !json["domain"].is_string()) {
            return std::nullopt;
        }
        return ListedVm { PeerAddress { address }, FailureDomain { json["domain"].get<std::string>() },
            Region { json.value("region", "") }, false };
    }

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

const StreamName& FleetDirectory::vmStream()
{
    static const StreamName name { "vms" };
    return name;
}

FleetDirectory::FleetDirectory(
    Context& context, Peers& peers, const LogHealth& health, routing::BackendTable& backends, FleetListener& listener)
    : context_(context)
    , peers_(peers)
    , health_(health)
    , backends_(backends)
    , listener_(listener)
{
}

void FleetDirectory::start()
{
    context_.emit(Follow { configStream(), {}, StreamKind::Keyed, {} });
    context_.emit(Follow { serverStream(), {}, StreamKind::Keyed, serverReadPause });
    context_.emit(Follow { vmStream(), {}, StreamKind::Keyed, vmReadPause });
}

void FleetDirectory::onRecords(const KeyedRecords& records)
{
    for (const UnreadableRecord& record : records.unreadable) {
        logUnreadable(records.stream.value().c_str(), record.key, record.reason);
    }
    if (records.stream == serverStream()) {
        applyServers(records);
        return;
    }
    if (records.stream == vmStream()) {
        applyVms(records);
        return;
    }
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
        logFindings("config", internal::configKey, findings);
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
    listener_.onConfig(routes_->config());
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
        logFindings("server", record.key, findings);
        return;
    }
    const auto known = servers_.find(id);
    // A record of a previous instance may arrive late. Applying it would restore an outdated address or state.
    if (known != servers_.end() && server->startedAt < known->second.startedAt) {
        return;
    }
    missing_.erase(id);
    const Instant aliveAt = std::exchange(aliveAt_[id], readBefore);
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
            aliveAt_.erase(entry->first);
            removed = true;
        }
        entry = missing_.erase(entry);
    }
    return removed;
}

void FleetDirectory::publishBackends()
{
    std::map<ServiceName, std::vector<routing::BackendEntry>> services;
    for (const ServiceName& service : published_) {
        services[service];
    }
    for (const auto& [id, server] : servers_) {
        if (server.state == fleet::ServerState::Ready) {
            services[server.service].push_back({ id, server.domain, server.slots, server.startedAt });
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

void FleetDirectory::applyVms(const KeyedRecords& records)
{
    if (records.whole) {
        vms_.clear();
    }
    for (const KeyedRecord& record : records.records) {
        const auto vm = record.value ? internal::decodeVm(record.key, *record.value) : std::nullopt;
        if (vm) {
            vms_[record.key] = *vm;
        } else {
            vms_.erase(record.key);
        }
    }
    std::vector<ListedVm> listed;
    for (const auto& [address, vm] : vms_) {
        listed.push_back(vm);
    }
    peers_.onVmList(listed);
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
        requestConfigFromPeer();
    } else if (removeMissing()) {
        publishBackends();
    }
    registerSelf(stopping);
}

void FleetDirectory::registerSelf(bool stopping)
{
    const Instant now = context_.now();
    const std::string& address = context_.settings().peerAddress.value();
    if (stopping) {
        if (!std::exchange(unregistered_, true)) {
            context_.emit(Append { vmStream(), {}, address });
        }
        return;
    }
    const bool listed = vms_.contains(address);
    if (listed || now < nextRegister_) {
        return;
    }
    nextRegister_ = now + registerPeriod;
    context_.emit(Append { vmStream(), internal::encodeVm(context_.settings()), address });
}

void FleetDirectory::requestConfigFromPeer()
{
    const Instant now = context_.now();
    if (now < nextReadAsk_) {
        return;
    }
    nextReadAsk_ = now + readAskPeriod;
    if (const auto peer = peers_.bestReader()) {
        const Offset from { routes_ ? configOffset_.value() + 1 : 0 };
        peers_.send(*peer, ReadAsk { configStream(), from });
    }
}

void FleetDirectory::onReadAsk(Incarnation from, Offset offset)
{
    if (routes_ && configOffset_ >= offset) {
        peers_.send(from, Records { configStream(), configOffset_, { configText_ } });
    }
}

void FleetDirectory::onPeerRecords(const Records& records)
{
    if (!records.records.empty()) {
        applyConfig(records.first, records.records.front(), "peer");
    }
}

void FleetDirectory::logFindings(const char* what, const std::string& key, const Findings& findings)
{
    logUnreadable(what, key, toText(findings));
}

void FleetDirectory::logUnreadable(const char* what, const std::string& key, const std::string& reason)
{
    context_.count("swiftlift_unreadable_records_total", { { "what", what } });
    // A faulty writer may repeat its record every second, or keep writing new ones.
    const bool known = unreadable_.contains({ key, reason });
    if (known || unreadable_.size() >= maxUnreadableLines) {
        return;
    }
    unreadable_.insert({ key, reason });
    context_.log(LogLineBuilder("unreadable").with("what", what).with("key", key).with("findings", reason));
}

} // namespace swiftlift::node
