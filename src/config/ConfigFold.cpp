#include "swiftlift/config/ConfigFold.h"

#include <utility>

#include "config/Parsed.h"

namespace swiftlift::config {

namespace {

    [[nodiscard]] Offset offsetAfter(Offset offset) { return Offset { offset.value() + 1 }; }

    [[nodiscard]] std::string gapMessage(Offset expected, Offset got)
    {
        return "gap: expected offset " + std::to_string(expected.value()) + ", got " + std::to_string(got.value());
    }

} // namespace

bool ConfigFold::apply(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects)
{
    const Parsed parsed(record);
    if (seeking()) {
        return searchSnapshot(offset, parsed, effects);
    }
    return applyNext(offset, record, parsed, effects);
}

bool ConfigFold::applyFromPeer(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects)
{
    const Parsed parsed(record);
    if (parsed.isPeerState(offset)) {
        if (!isVersionSupported(offset, parsed)) {
            return false;
        }
        if (parsed.asOf() > next_) {
            restoreSnapshot(parsed, parsed.asOf(), effects);
        }
        return true;
    }
    if (!applyNext(offset, record, parsed, effects)) {
        return false;
    }
    if (seeking() && next_ >= *searchStart_) {
        searchStart_.reset();
        effects.emplace_back(Restored { next_ });
    }
    return true;
}

bool ConfigFold::applyNext(
    Offset offset, std::string_view record, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    if (offset < next_) {
        return true;
    }
    // A missing record may be a missing publish. Later publishes would then be checked against an outdated revision,
    // and this router's state would differ from the others' permanently.
    if (offset > next_) {
        return refuseRecord(gapMessage(next_, offset));
    }
    if (!isVersionSupported(offset, parsed)) {
        return false;
    }
    const bool snapshot = parsed.readable && parsed.record.has_snapshot();
    if (parsed.readable && parsed.record.has_publish()) {
        applyPublish(offset, parsed, effects);
    } else if (snapshot && parsed.asOf() <= offset) {
        compareWithSnapshot(offset, parsed, effects);
    } else {
        effects.emplace_back(makeRejection(offset, parsed, RejectReason::Unreadable));
    }
    retainRecord(record);
    next_ = offsetAfter(offset);
    return true;
}

// Two releases with different rules could have different documents in force; a service's behaviour would then depend on
// which router handles a request. So an older release stops at the first record of newer rules and reports the
// versions.
bool ConfigFold::isVersionSupported(Offset offset, const Parsed& parsed)
{
    if (!parsed.readable || parsed.record.rules_version() <= rulesVersion) {
        return true;
    }
    return refuseRecord("record " + std::to_string(offset.value()) + " has rules version "
        + std::to_string(parsed.record.rules_version()) + ", known versions are 1 to " + std::to_string(rulesVersion));
}

bool ConfigFold::refuseRecord(std::string reason)
{
    lastReason_ = std::move(reason);
    return false;
}

Rejected ConfigFold::makeRejection(Offset offset, const Parsed& parsed, RejectReason reason) const
{
    const proto::config::Publish& publish = parsed.record.publish();
    Rejected rejected;
    rejected.service = ServiceName { publish.service() };
    rejected.offset = offset;
    rejected.author = publish.author();
    rejected.id = publish.id();
    rejected.reason = reason;
    if (const ServiceRevision* lastRevision = last(rejected.service)) {
        rejected.currentRevision = lastRevision->revision;
        rejected.currentAuthor = lastRevision->author;
    }
    return rejected;
}

void ConfigFold::applyPublish(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    const proto::config::Publish& publish = parsed.record.publish();
    const ServiceName service { publish.service() };
    // An append whose answer was lost is retried. If the id didn't identify the duplicate, the author's own first
    // append would count as a competing publish and the duplicate would be rejected.
    if (const RevisionNote* note = findDuplicate(service, publish.id())) {
        effects.emplace_back(Repeated { service, offset, note->revision, publish.id() });
        return;
    }
    const ServiceRevision* lastRevision = last(service);
    const std::uint64_t expected = lastRevision != nullptr ? offsetAfter(lastRevision->revision).value() : 0;
    if (publish.replaces() != expected) {
        effects.emplace_back(makeRejection(offset, parsed, RejectReason::Overtaken));
        return;
    }
    if (publish.document().empty()) {
        applyWithdrawal(offset, parsed, effects);
        return;
    }
    Findings findings;
    std::optional<settings::ServiceDocument> document
        = settings::parseServiceDocument(publish.document(), service.value(), findings);
    if (!document) {
        Rejected rejected = makeRejection(offset, parsed, RejectReason::Invalid);
        rejected.findings = std::move(findings);
        effects.emplace_back(std::move(rejected));
        return;
    }
    if (document->service != service) {
        Rejected rejected = makeRejection(offset, parsed, RejectReason::WrongService);
        rejected.findings.push_back(
            Finding { service.value(), 0, 0, "the document describes service `" + document->service.value() + "`" });
        effects.emplace_back(std::move(rejected));
        return;
    }
    setLastRevision(
        ServiceRevision { service, offset, publish.author(), publish.id(), publish.document(), std::move(document) });
    effects.emplace_back(Accepted { service, offset, publish.author(), publish.id() });
}

// The withdrawal is kept as the service's last revision. Otherwise a late duplicate of the service's first publish,
// which names no revision to replace, would be accepted and restore the service.
void ConfigFold::applyWithdrawal(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    const proto::config::Publish& publish = parsed.record.publish();
    const ServiceName service { publish.service() };
    const ServiceRevision* lastRevision = last(service);
    if (lastRevision == nullptr || lastRevision->text.empty()) {
        Rejected rejected = makeRejection(offset, parsed, RejectReason::Invalid);
        rejected.findings.push_back(
            Finding { service.value(), 0, 0, "no such service is in force, nothing to withdraw" });
        effects.emplace_back(std::move(rejected));
        return;
    }
    setLastRevision(ServiceRevision { service, offset, publish.author(), publish.id(), {}, std::nullopt });
    effects.emplace_back(Withdrawn { service, offset, publish.author(), publish.id() });
}

void ConfigFold::setLastRevision(ServiceRevision revision)
{
    Service& service = services_[revision.service];
    service.history.push_back(RevisionNote { revision.revision, revision.author, revision.id, revision.text.empty() });
    if (service.history.size() > maxHistoryLength) {
        service.history.pop_front();
    }
    service.last = std::move(revision);
}

const RevisionNote* ConfigFold::findDuplicate(const ServiceName& service, std::uint64_t id) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || id == 0) {
        return nullptr;
    }
    for (const RevisionNote& note : found->second.history) {
        if (note.id == id) {
            return &note;
        }
    }
    return nullptr;
}

const ServiceRevision* ConfigFold::last(const ServiceName& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.last;
}

const ServiceRevision* ConfigFold::current(const ServiceName& service) const
{
    const ServiceRevision* revision = last(service);
    return revision != nullptr && revision->document ? revision : nullptr;
}

std::vector<ServiceName> ConfigFold::services() const
{
    std::vector<ServiceName> names;
    for (const auto& [name, service] : services_) {
        if (service.last.document) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<RevisionNote> ConfigFold::history(const ServiceName& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    return { found->second.history.begin(), found->second.history.end() };
}

} // namespace swiftlift::config
