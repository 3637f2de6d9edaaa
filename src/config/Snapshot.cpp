#include <optional>
#include <utility>

#include "config/Parsed.h"
#include "swiftlift/config/ConfigFold.h"

namespace swiftlift::config {

namespace {

    // Of a snapshot's text: one that this release can't read counts as not in force, and keeps its place.
    [[nodiscard]] std::optional<settings::ServiceDocument> parse(const proto::config::ServiceRevision& revision)
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
    seekFrom_ = oldest;
    seekNext_ = oldest;
}

Offset ConfigFold::readFrom() const noexcept { return seeking() ? seekNext_ : next_; }

// A snapshot is fit to start from when the records from its `as_of` on are still in the log. Those between `as_of` and
// the snapshot itself were passed over, so reading goes on from `as_of`. With none between, the snapshot itself is the
// next record, and is done with: a reader that waited for it again would wait for ever on a quiet stream.
bool ConfigFold::seek(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    if (offset < seekNext_) {
        return true;
    }
    if (offset > seekNext_) {
        return refuse("gap while looking for a snapshot: expected offset " + std::to_string(seekNext_.value()));
    }
    if (!versionKnown(offset, parsed)) {
        return false;
    }
    seekNext_ = Offset { offset.value() + 1 };
    const bool snapshot = parsed.readable && parsed.record.has_snapshot();
    if (snapshot && parsed.asOf() >= *seekFrom_ && parsed.asOf() <= offset) {
        restore(parsed, parsed.asOf() == offset ? seekNext_ : parsed.asOf(), effects);
    }
    return true;
}

void ConfigFold::restore(const Parsed& parsed, Offset next, std::vector<ConfigEffect>& effects)
{
    std::map<ServiceName, Service> before = std::exchange(services_, {});
    for (const proto::config::ServiceRevision& revision : parsed.record.snapshot().services()) {
        const ServiceName name { revision.service() };
        const auto known = before.find(name);
        const bool same = known != before.end() && known->second.last.revision.value() == revision.revision();
        if (known != before.end()) {
            services_[name].history = std::move(known->second.history);
        }
        if (same) {
            services_[name].last = std::move(known->second.last);
            continue;
        }
        const Offset at { revision.revision() };
        setLast(ServiceRevision { name, at, revision.author(), revision.id(), revision.document(), parse(revision) });
        if (revision.document().empty()) {
            effects.emplace_back(Withdrawn { name, at, revision.author(), revision.id() });
        } else {
            effects.emplace_back(Accepted { name, at, revision.author(), revision.id() });
        }
    }
    next_ = next;
    seekFrom_.reset();
    kept_.clear();
    keptSize_ = 0;
    effects.emplace_back(Restored { next_ });
}

// A fold that had gone astray would stay so unnoticed; each snapshot of another router is a check on it.
void ConfigFold::compare(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects) const
{
    const proto::config::Snapshot& snapshot = parsed.record.snapshot();
    std::map<ServiceName, const proto::config::ServiceRevision*> theirs;
    for (const proto::config::ServiceRevision& revision : snapshot.services()) {
        theirs[ServiceName { revision.service() }] = &revision;
    }
    bool agrees = true;
    for (const auto& [name, service] : services_) {
        if (service.last.revision >= parsed.asOf()) {
            theirs.erase(name);
            continue;
        }
        const auto found = theirs.find(name);
        agrees = agrees && found != theirs.end() && found->second->revision() == service.last.revision.value()
            && found->second->document() == service.last.text;
        theirs.erase(name);
    }
    effects.emplace_back(SnapshotPassed { offset, agrees && theirs.empty() });
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

void ConfigFold::keep(std::string_view record)
{
    kept_.emplace_back(record);
    keptSize_ += record.size();
    while (keptSize_ > keptBytes) {
        keptSize_ -= kept_.front().size();
        kept_.pop_front();
    }
}

RetainedRecords ConfigFold::recordsFrom(Offset from, std::size_t maxBytes) const
{
    if (from >= next_) {
        return { next_, {} };
    }
    const std::uint64_t keptFirst = next_.value() - kept_.size();
    if (from.value() < keptFirst) {
        return { Offset { next_.value() - 1 }, { snapshot() } };
    }
    RetainedRecords answer { from, {} };
    std::size_t bytes = 0;
    for (std::size_t i = from.value() - keptFirst; i < kept_.size(); ++i) {
        bytes += kept_[i].size();
        if (!answer.records.empty() && bytes > maxBytes) {
            break;
        }
        answer.records.push_back(kept_[i]);
    }
    return answer;
}

} // namespace swiftlift::config
