#include "swiftlift/config/ConfigFold.h"

#include <utility>

#include "config/Parsed.h"

namespace swiftlift::config {

namespace {

    [[nodiscard]] Offset after(Offset offset) { return Offset { offset.value() + 1 }; }

    [[nodiscard]] std::string gapText(Offset expected, Offset got)
    {
        return "gap: expected offset " + std::to_string(expected.value()) + ", got " + std::to_string(got.value());
    }

} // namespace

bool ConfigFold::apply(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects)
{
    const Parsed parsed(record);
    if (seeking()) {
        return seek(offset, parsed, effects);
    }
    return applyNext(offset, record, parsed, effects);
}

bool ConfigFold::applyFromPeer(Offset offset, std::string_view record, std::vector<ConfigEffect>& effects)
{
    const Parsed parsed(record);
    if (parsed.statesPeer(offset)) {
        if (!versionKnown(offset, parsed)) {
            return false;
        }
        if (parsed.asOf() > next_) {
            restore(parsed, parsed.asOf(), effects);
        }
        return true;
    }
    if (!applyNext(offset, record, parsed, effects)) {
        return false;
    }
    if (seeking() && next_ >= *seekFrom_) {
        seekFrom_.reset();
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
    // A record missed is a publish missed: the next one would be judged by a revision that is not in force, and this
    // router would differ from the others for good.
    if (offset > next_) {
        return refuse(gapText(next_, offset));
    }
    if (!versionKnown(offset, parsed)) {
        return false;
    }
    const bool snapshot = parsed.readable && parsed.record.has_snapshot();
    if (parsed.readable && parsed.record.has_publish()) {
        applyPublish(offset, parsed, effects);
    } else if (snapshot && parsed.asOf() <= offset) {
        compare(offset, parsed, effects);
    } else {
        effects.emplace_back(rejection(offset, parsed, RejectReason::Unreadable));
    }
    keep(record);
    next_ = after(offset);
    return true;
}

// Two releases that fold differently would each hold another document to be in force. One would notice services that
// behave by the router asked. So an older release stops at the first record of newer rules and says so.
bool ConfigFold::versionKnown(Offset offset, const Parsed& parsed)
{
    if (!parsed.readable || parsed.record.rules_version() <= rulesVersion) {
        return true;
    }
    return refuse("record at offset " + std::to_string(offset.value()) + " follows rules "
        + std::to_string(parsed.record.rules_version()) + ", known are " + std::to_string(rulesVersion));
}

bool ConfigFold::refuse(std::string reason)
{
    lastReason_ = std::move(reason);
    return false;
}

Rejected ConfigFold::rejection(Offset offset, const Parsed& parsed, RejectReason reason) const
{
    const proto::config::Publish& publish = parsed.record.publish();
    Rejected rejected;
    rejected.service = ServiceName { publish.service() };
    rejected.offset = offset;
    rejected.author = publish.author();
    rejected.id = publish.id();
    rejected.reason = reason;
    if (const ServiceRevision* present = last(rejected.service)) {
        rejected.currentRevision = present->revision;
        rejected.currentAuthor = present->author;
    }
    return rejected;
}

void ConfigFold::applyPublish(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    const proto::config::Publish& publish = parsed.record.publish();
    const ServiceName service { publish.service() };
    // An append whose answer was lost is made again. Without its id the author would be told that it lost a race
    // against itself.
    if (const RevisionNote* note = findRepeat(service, publish.id())) {
        effects.emplace_back(Repeated { service, offset, note->revision, publish.id() });
        return;
    }
    const ServiceRevision* present = last(service);
    const std::uint64_t expected = present != nullptr ? after(present->revision).value() : 0;
    if (publish.replaces() != expected) {
        effects.emplace_back(rejection(offset, parsed, RejectReason::Overtaken));
        return;
    }
    if (publish.document().empty()) {
        withdraw(offset, parsed, effects);
        return;
    }
    Findings findings;
    std::optional<settings::ServiceDocument> document
        = settings::parseServiceDocument(publish.document(), service.value(), findings);
    if (!document) {
        Rejected rejected = rejection(offset, parsed, RejectReason::Invalid);
        rejected.findings = std::move(findings);
        effects.emplace_back(std::move(rejected));
        return;
    }
    if (document->service != service) {
        Rejected rejected = rejection(offset, parsed, RejectReason::WrongService);
        rejected.findings.push_back(
            Finding { service.value(), 0, 0, "the document is about service `" + document->service.value() + "`" });
        effects.emplace_back(std::move(rejected));
        return;
    }
    setLast(
        ServiceRevision { service, offset, publish.author(), publish.id(), publish.document(), std::move(document) });
    effects.emplace_back(Accepted { service, offset, publish.author(), publish.id() });
}

// The withdrawal stays as the service's last revision: without it a late repeat of the first publish, which names no
// revision, would bring the service back.
void ConfigFold::withdraw(Offset offset, const Parsed& parsed, std::vector<ConfigEffect>& effects)
{
    const proto::config::Publish& publish = parsed.record.publish();
    const ServiceName service { publish.service() };
    const ServiceRevision* present = last(service);
    if (present == nullptr || present->text.empty()) {
        Rejected rejected = rejection(offset, parsed, RejectReason::Invalid);
        rejected.findings.push_back(Finding { service.value(), 0, 0, "there is no such service to withdraw" });
        effects.emplace_back(std::move(rejected));
        return;
    }
    setLast(ServiceRevision { service, offset, publish.author(), publish.id(), {}, std::nullopt });
    effects.emplace_back(Withdrawn { service, offset, publish.author(), publish.id() });
}

void ConfigFold::setLast(ServiceRevision revision)
{
    Service& service = services_[revision.service];
    service.history.push_back(RevisionNote { revision.revision, revision.author, revision.id, revision.text.empty() });
    if (service.history.size() > historyLength) {
        service.history.pop_front();
    }
    service.last = std::move(revision);
}

const RevisionNote* ConfigFold::findRepeat(const ServiceName& service, std::uint64_t id) const
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
