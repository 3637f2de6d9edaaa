// Backend servers: their entries, which of them are cold, and what the backend table gets.

#include "node/FleetDirectory.h"

#include <utility>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] const char* changeOf(const fleet::BackendServer& server, bool newInstance)
    {
        if (server.state != fleet::ServerState::Ready) {
            return "leaving";
        }
        return newInstance ? "started_again" : "registered";
    }

} // namespace internal

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
        onServersListed();
    }
    const Instant readBefore = std::exchange(serversReadAt_, context_.now());
    for (const KeyedRecord& record : records.records) {
        applyServer(record, readBefore);
    }
    if (records.whole) {
        warmup_.onAllListed();
    }
    forgetOldEntries();
    notifyServersSeen(records, readBefore);
    static_cast<void>(removeMissing());
    publishBackends();
    serverCheck_.onApplied(records.next);
}

// The records of versions are read after the list: a version that comes and goes between two lists is in the records
// then, as it is published before it is used.
void FleetDirectory::onServersListed()
{
    if (std::exchange(serversKnown_, true)) {
        versions_.onGap();
    }
    versionRecords_.start();
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
    // The same read may bring the entry's removal as well.
    versions_.noteSeen(server->service, server->version, context_.now());
    const auto known = servers_.find(id);
    // A record of a previous instance may arrive late. Applying it would restore an outdated address or state.
    if (known != servers_.end() && server->startedAt < known->second.startedAt) {
        return;
    }
    if (isOutdated(*server)) {
        return;
    }
    missing_.erase(id);
    warmup_.onEntry(*server, warmupDurationOf(server->service), context_.now());
    const Instant aliveAt = std::exchange(aliveAt_[id], readBefore);
    // The remaining time and the number are different in each entry.
    server->warmupLeft = {};
    server->sequence = 0;
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
                     .with("version", server->version.value())
                     .with("domain", server->domain.value())
                     .with("offset", static_cast<std::int64_t>(record.offset.value())));
    servers_[id] = std::move(*server);
    if (newInstance) {
        listener_.onServerRestarted(id, aliveAt);
    }
}

// The log may execute a write seconds after its call has failed. A server that has reported its leaving since, or whose
// entry was removed, would get new requests again, and would cut them when it exits.
bool FleetDirectory::isOutdated(const fleet::BackendServer& server)
{
    const auto [entry, isNew] = lastEntries_.try_emplace(server.id, LastEntry {});
    LastEntry& last = entry->second;
    if (!isNew && server.startedAt == last.startedAt && server.sequence < last.sequence) {
        context_.log(LogLineBuilder("backend")
                         .with("backend", server.id.value())
                         .with("change", "late_entry")
                         .with("sequence", static_cast<std::int64_t>(server.sequence))
                         .with("last_sequence", static_cast<std::int64_t>(last.sequence)));
        return true;
    }
    last = { server.startedAt, server.sequence, context_.now() };
    return false;
}

void FleetDirectory::forgetOldEntries()
{
    std::erase_if(lastEntries_, [this](const auto& entry) {
        return !servers_.contains(entry.first) && context_.now() - entry.second.readAt > lateEntryTime;
    });
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

// Servers that leave count, too: streams that began there may be taken up again.
void FleetDirectory::recordVersions()
{
    std::map<ServiceName, std::set<SoftwareVersion>> registered;
    for (const ServiceName& service : published_) {
        registered[service];
    }
    for (const auto& [id, server] : servers_) {
        registered[server.service].insert(server.version);
    }
    for (const auto& [service, versions] : registered) {
        versions_.setRegistered(service, versions, context_.now());
    }
    versionRecords_.setVersions(versions_.recent(streams::streamLifetime, context_.now()));
}

void FleetDirectory::applyVersionRecords(const KeyedRecords& records)
{
    streams::ServiceVersions earlier;
    for (const streams::VersionRecord& record : versionRecords_.onRecords(records)) {
        streams::merge(earlier, record.versions);
        listener_.onStreamsRead(record.streams);
    }
    versions_.addEarlier(earlier, context_.now());
    publishBackends();
}

void FleetDirectory::onVersionsAppended()
{
    versionRecords_.onAppended();
    if (!unpublished_.empty()) {
        publishBackends();
    }
}

// A stream that begins at a version of which only running routers know would be joined with another version's events by
// a router that starts: by all it can read, the service has had the other version alone.
bool FleetDirectory::versionIsPublished(const fleet::BackendServer& server)
{
    const std::pair key { server.service, server.version };
    if (versionRecords_.isPublished(server.service, server.version)) {
        unpublished_.erase(key);
        return true;
    }
    const auto waiting = unpublished_.try_emplace(key, context_.now()).first;
    return context_.now() - waiting->second >= maxPublishTime;
}

// A version that has waited for longer was set with one of the reads of the servers since.
bool FleetDirectory::publicationOverdue() const
{
    return std::ranges::any_of(unpublished_, [this](const auto& waiting) {
        const Duration waited = context_.now() - waiting.second;
        return waited >= maxPublishTime && waited < 2 * maxPublishTime;
    });
}

void FleetDirectory::publishBackends()
{
    noteColdServers();
    if (serversKnown_) {
        recordVersions();
    }
    std::map<ServiceName, std::vector<routing::BackendEntry>> services;
    for (const ServiceName& service : published_) {
        services[service];
    }
    for (const auto& [id, server] : servers_) {
        if (server.state == fleet::ServerState::Ready && versionIsPublished(server)) {
            services[server.service].push_back(
                { id, server.domain, server.slots, server.startedAt, evacuations_.evacuations().contains(server.domain),
                    server.version, coldPeriod(server), memoryOf(server.service) });
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

std::optional<Tokens> FleetDirectory::memoryOf(const ServiceName& service) const
{
    const fleet::Service* found = routes_ ? routes_->service(service) : nullptr;
    return found != nullptr && found->engine ? found->engine->memory : std::nullopt;
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

std::optional<routing::ColdPeriod> FleetDirectory::coldPeriod(const fleet::BackendServer& server) const
{
    const fleet::WarmupFacts* warmup = warmupOf(server.service);
    const auto coldUntil = warmup_.coldUntil(server.id, context_.now());
    if (warmup == nullptr || !coldUntil) {
        return std::nullopt;
    }
    return routing::ColdPeriod { *coldUntil, warmup->requestsPerSecond };
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

} // namespace swiftlift::node
