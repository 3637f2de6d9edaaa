#include "swiftlift/quarantine/ReportOutbox.h"

#include <algorithm>
#include <utility>

namespace swiftlift::quarantine {

ReportOutbox::ReportOutbox(Incarnation self)
    : self_(self)
{
}

ReportId ReportOutbox::nextId() { return { self_, ++lastNumber_ }; }

Report ReportOutbox::onRequestLost(
    const Fingerprint& request, const std::vector<PromptPart>& parts, const BackendInstance& instance, Instant now)
{
    auto gathering = gatheringReports_.find(instance);
    if (gathering != gatheringReports_.end() && gathering->second.report.requests.size() >= maxRequestsPerReport) {
        enqueue(gathering->second.report, now);
        gatheringReports_.erase(gathering);
        gathering = gatheringReports_.end();
    }
    if (gathering == gatheringReports_.end()) {
        gathering = gatheringReports_.emplace(instance, GatheringReport { { nextId(), {}, instance }, now }).first;
        revocable_.push_back({ gathering->second.report.id, instance, now });
    }
    Report& report = gathering->second.report;
    report.requests.push_back(request);
    for (const PromptPart& part : parts) {
        if (report.parts.size() < maxPartsPerReport && std::ranges::find(report.parts, part) == report.parts.end()) {
            report.parts.push_back(part);
        }
    }
    return report;
}

Report ReportOutbox::onPartsJudged(const std::vector<PromptPart>& parts, bool heldBack, Instant now)
{
    Report report { nextId(), {}, std::nullopt, parts, heldBack };
    enqueue(report, now);
    return report;
}

Report ReportOutbox::onAnswered(const Fingerprint& request, Instant now)
{
    Report report { nextId(), { request }, std::nullopt };
    enqueue(report, now);
    return report;
}

std::vector<ReportId> ReportOutbox::onInstanceAlive(
    const BackendInstance& instance, Instant at, Duration maxTimeSinceLoss)
{
    std::vector<ReportId> wrong;
    for (auto revocable = revocable_.begin(); revocable != revocable_.end();) {
        if (revocable->instance != instance || revocable->lostAt >= at || at - revocable->lostAt > maxTimeSinceLoss) {
            ++revocable;
            continue;
        }
        wrong.push_back(revocable->id);
        const auto gathering = gatheringReports_.find(instance);
        if (gathering != gatheringReports_.end() && gathering->second.report.id == revocable->id) {
            gatheringReports_.erase(gathering);
        } else {
            drop(revocable->id, at);
        }
        revocable = revocable_.erase(revocable);
    }
    return wrong;
}

void ReportOutbox::adopt(const Report& report, Instant at)
{
    if (pendingWrites_.size() < maxPendingWrites) {
        pendingWrites_.try_emplace(report.id, PendingWrite { report, at, true });
    }
}

void ReportOutbox::drop(const ReportId& id, Instant at)
{
    if (id.reporter == self_) {
        droppedIds_.insert(id);
        if (droppedIds_.size() > maxDroppedIds) {
            droppedIds_.erase(droppedIds_.begin());
        }
    }
    pendingWrites_[id] = PendingWrite { std::nullopt, at, false };
}

void ReportOutbox::onRead(const ReportId& id, bool present, Instant now)
{
    const auto pending = pendingWrites_.find(id);
    if (pending != pendingWrites_.end() && pending->second.report.has_value() == present) {
        pendingWrites_.erase(pending);
    }
    if (present && droppedIds_.contains(id) && !pendingWrites_.contains(id)) {
        drop(id, now);
    }
}

void ReportOutbox::enqueue(const Report& report, Instant now)
{
    if (pendingWrites_.size() < maxPendingWrites) {
        pendingWrites_[report.id] = PendingWrite { report, now, false };
    }
}

void ReportOutbox::enqueueGathered(Instant now)
{
    for (auto gathering = gatheringReports_.begin(); gathering != gatheringReports_.end();) {
        if (now - gathering->second.since < gatherTime) {
            ++gathering;
            continue;
        }
        enqueue(gathering->second.report, now);
        gathering = gatheringReports_.erase(gathering);
    }
}

void ReportOutbox::expireRevocable(Instant now)
{
    while (!revocable_.empty() && now - revocable_.front().lostAt > revocableTime) {
        revocable_.pop_front();
    }
}

std::optional<ReportOrder> ReportOutbox::due(Duration spacing, Instant now)
{
    enqueueGathered(now);
    expireRevocable(now);
    if (pendingWrites_.empty() || now < earliestNextWrite_) {
        return std::nullopt;
    }
    const auto first
        = std::ranges::min_element(pendingWrites_, {}, [](const auto& entry) { return entry.second.nextAttempt; });
    auto& [id, pending] = *first;
    if (now < pending.nextAttempt) {
        return std::nullopt;
    }
    earliestNextWrite_ = now + spacing;
    pending.nextAttempt = now + rewritePeriod;
    return ReportOrder { id, pending.report, !std::exchange(pending.written, true) };
}

} // namespace swiftlift::quarantine
