#include <optional>
#include <utility>

#include "config/Parsed.h"
#include "swiftlift/config/ConfigFold.h"

namespace swiftlift::config {

namespace {

    // Parses the document of a service in a snapshot. A service whose document this release can't read counts as not in
    // force, but keeps its revision.
    [[nodiscard]] std::optional<settings::ServiceDocument> parseDocument(const proto::config::ServiceRevision& revision)
    {
        if (revision.document().empty()) {
            return std::nullopt;
        }
        Findings findings;
        return settings::parseServiceDocument(revision.document(), revision.service(), findings);
    }

} // namespace

void ConfigFold::startFrom(Offset oldest)
{
    if (oldest <= next_) {
        return;
    }
    searchStart_ = oldest;
    searchNext_ = oldest;
}

Offset ConfigFold::readFrom() const noexcept { return seeking() ? searchNext_ : next_; }

// A snapshot is usable when the log still has all records from its `as_of` on. The search has skipped the records
// between `as_of` and the snapshot, so reading continues at `as_of`. If there are no such records, reading continues
// after the snapshot: a reader that waited at the snapshot's own offset would wait forever on a stream without new
// records.
bool ConfigFold::searchSnapshot(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    if (offset < searchNext_) {
        return true;
    }
    if (offset > searchNext_) {
        return refuseRecord(
            "gap during the search for a snapshot: expected offset " + std::to_string(searchNext_.value()));
    }
    if (!isVersionSupported(offset, parsed)) {
        return false;
    }
    searchNext_ = Offset { offset.value() + 1 };
    const bool snapshot = parsed.readable && parsed.record.has_snapshot();
    if (snapshot && parsed.asOf() >= *searchStart_ && parsed.asOf() <= offset) {
        restoreSnapshot(parsed, parsed.asOf() == offset ? searchNext_ : parsed.asOf(), effects);
    }
    return true;
}

void ConfigFold::restoreSnapshot(const Parsed& parsed, Offset next, std::vector<ConfigEffect>& effects)
{
    std::map<ServiceName, Service> previous = std::exchange(services_, {});
    for (const proto::config::ServiceRevision& revision : parsed.record.snapshot().services()) {
        const ServiceName name { revision.service() };
        const auto known = previous.find(name);
        const bool unchanged = known != previous.end() && known->second.last.revision.value() == revision.revision();
        if (known != previous.end()) {
            services_[name].history = std::move(known->second.history);
        }
        if (unchanged) {
            services_[name].last = std::move(known->second.last);
            continue;
        }
        const Offset revisionOffset { revision.revision() };
        setLastRevision(ServiceRevision {
            name, revisionOffset, revision.author(), revision.id(), revision.document(), parseDocument(revision) });
        if (revision.document().empty()) {
            effects.emplace_back(Withdrawn { name, revisionOffset, revision.author(), revision.id() });
        } else {
            effects.emplace_back(Accepted { name, revisionOffset, revision.author(), revision.id() });
        }
    }
    next_ = next;
    searchStart_.reset();
    retainedRecords_.clear();
    retainedBytes_ = 0;
    effects.emplace_back(Restored { next_ });
}

// Compares a snapshot with the state of this fold. A fold that diverged from the other routers would otherwise remain
// undetected.
void ConfigFold::compareWithSnapshot(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects) const
{
    const proto::config::Snapshot& snapshot = parsed.record.snapshot();
    std::map<ServiceName, const proto::config::ServiceRevision*> snapshotServices;
    for (const proto::config::ServiceRevision& revision : snapshot.services()) {
        snapshotServices[ServiceName { revision.service() }] = &revision;
    }
    bool agrees = true;
    for (const auto& [name, service] : services_) {
        if (service.last.revision >= parsed.asOf()) {
            snapshotServices.erase(name);
            continue;
        }
        const auto found = snapshotServices.find(name);
        agrees = agrees && found != snapshotServices.end() && found->second->revision() == service.last.revision.value()
            && found->second->document() == service.last.text;
        snapshotServices.erase(name);
    }
    effects.emplace_back(SnapshotPassed { offset, agrees && snapshotServices.empty() });
}

std::string ConfigFold::snapshot() const
{
    proto::config::Record record;
    record.set_rules_version(rulesVersion);
    proto::config::Snapshot& snapshot = *record.mutable_snapshot();
    snapshot.set_as_of(next_.value());
    for (const auto& [name, service] : services_) {
        proto::config::ServiceRevision& revision = *snapshot.add_services();
        revision.set_service(name.value());
        revision.set_revision(service.last.revision.value());
        revision.set_author(service.last.author);
        revision.set_document(service.last.text);
        revision.set_id(service.last.id);
    }
    return record.SerializeAsString();
}

void ConfigFold::retainRecord(std::string_view record)
{
    retainedRecords_.emplace_back(record);
    retainedBytes_ += record.size();
    while (retainedBytes_ > maxRetainedBytes) {
        retainedBytes_ -= retainedRecords_.front().size();
        retainedRecords_.pop_front();
    }
}

RetainedRecords ConfigFold::recordsFrom(Offset from, std::size_t maxBytes) const
{
    if (from >= next_) {
        return { next_, {} };
    }
    const std::uint64_t firstRetained = next_.value() - retainedRecords_.size();
    if (from.value() < firstRetained) {
        return { Offset { next_.value() - 1 }, { snapshot() } };
    }
    RetainedRecords result { from, {} };
    std::size_t bytes = 0;
    for (std::size_t i = from.value() - firstRetained; i < retainedRecords_.size(); ++i) {
        bytes += retainedRecords_[i].size();
        if (!result.records.empty() && bytes > maxBytes) {
            break;
        }
        result.records.push_back(retainedRecords_[i]);
    }
    return result;
}

} // namespace swiftlift::config
