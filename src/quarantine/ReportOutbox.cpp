#include "swiftlift/quarantine/ReportOutbox.h"

#include <algorithm>
#include <utility>

namespace swiftlift::quarantine {

ReportOutbox::ReportOutbox(Incarnation self)
    : self_(self)
{
}

ReportId ReportOutbox::nextId() { return { self_, ++lastNumber_ }; }

Report ReportOutbox::onRequestLost(const Fingerprint& request, const BackendInstance& instance, Instant now)
{
    auto gathering = gathering_.find(instance);
    if (gathering != gathering_.end() && gathering->second.report.requests.size() >= mostRequestsPerReport) {
        close(gathering->second.report, now);
        gathering_.erase(gathering);
        gathering = gathering_.end();
    }
    if (gathering == gathering_.end()) {
        gathering = gathering_.emplace(instance, Gathering { { nextId(), {}, instance }, now }).first;
        doubtful_.push_back({ gathering->second.report.id, instance, now });
    }
    gathering->second.report.requests.push_back(request);
    return gathering->second.report;
}

Report ReportOutbox::onAnswered(const Fingerprint& request, Instant now)
{
    Report report { nextId(), { request }, std::nullopt };
    close(report, now);
    return report;
}

std::vector<ReportId> ReportOutbox::onInstanceAlive(const BackendInstance& instance, Instant at, Duration longest)
{
    std::vector<ReportId> wrong;
    for (auto doubt = doubtful_.begin(); doubt != doubtful_.end();) {
        if (doubt->instance != instance || doubt->lostAt >= at || at - doubt->lostAt > longest) {
            ++doubt;
            continue;
        }
        wrong.push_back(doubt->id);
        const auto gathering = gathering_.find(instance);
        if (gathering != gathering_.end() && gathering->second.report.id == doubt->id) {
            gathering_.erase(gathering);
        } else {
            drop(doubt->id, at);
        }
        doubt = doubtful_.erase(doubt);
    }
    return wrong;
}

void ReportOutbox::adopt(const Report& report, Instant at)
{
    if (pending_.size() < mostPending) {
        pending_.try_emplace(report.id, Pending { report, at, true });
    }
}

void ReportOutbox::drop(const ReportId& id, Instant at)
{
    if (id.reporter == self_) {
        dropped_.insert(id);
        if (dropped_.size() > mostDropped) {
            dropped_.erase(dropped_.begin());
        }
    }
    pending_[id] = Pending { std::nullopt, at, false };
}

void ReportOutbox::onRead(const ReportId& id, bool present, Instant now)
{
    const auto pending = pending_.find(id);
    if (pending != pending_.end() && pending->second.report.has_value() == present) {
        pending_.erase(pending);
    }
    if (present && dropped_.contains(id) && !pending_.contains(id)) {
        drop(id, now);
    }
}

void ReportOutbox::close(const Report& report, Instant now)
{
    if (pending_.size() < mostPending) {
        pending_[report.id] = Pending { report, now, false };
    }
}

void ReportOutbox::closeGathered(Instant now)
{
    for (auto gathering = gathering_.begin(); gathering != gathering_.end();) {
        if (now - gathering->second.since < gatherTime) {
            ++gathering;
            continue;
        }
        close(gathering->second.report, now);
        gathering = gathering_.erase(gathering);
    }
}

void ReportOutbox::endDoubts(Instant now)
{
    while (!doubtful_.empty() && now - doubtful_.front().lostAt > doubtTime) {
        doubtful_.pop_front();
    }
}

std::optional<ReportOrder> ReportOutbox::due(Duration spacing, Instant now)
{
    closeGathered(now);
    endDoubts(now);
    if (pending_.empty() || now < nextWrite_) {
        return std::nullopt;
    }
    const auto first = std::ranges::min_element(pending_, {}, [](const auto& entry) { return entry.second.nextWrite; });
    auto& [id, pending] = *first;
    if (now < pending.nextWrite) {
        return std::nullopt;
    }
    nextWrite_ = now + spacing;
    pending.nextWrite = now + retryPeriod;
    return ReportOrder { id, pending.report, !std::exchange(pending.written, true) };
}

} // namespace swiftlift::quarantine
