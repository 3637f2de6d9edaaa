#include "swiftlift/quarantine/Quarantine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::quarantine {

Quarantine::Quarantine(QuarantineLimits limits)
    : limits_(limits)
{
    assert(limits_.maxServersEnded > 0 && "maxServersEnded 0 would quarantine every request");
}

void Quarantine::onReport(const Report& report, Instant now)
{
    const auto [stored, inserted]
        = reports_.try_emplace(report.id, StoredReport { { report.id, {}, report.failedInstance }, now });
    if (inserted) {
        arrivalOrder_.push_back(report.id);
    }
    std::vector<Fingerprint>& requests = stored->second.report.requests;
    for (const Fingerprint& request : report.requests) {
        if (std::ranges::find(requests, request) != requests.end()) {
            continue;
        }
        requests.push_back(request);
        if (report.failedInstance) {
            addSuspicion(request, report, now);
        } else {
            clearSuspicion(request);
        }
    }
    if (reports_.size() > limits_.maxReports) {
        evictReport();
    }
}

void Quarantine::addSuspicion(const Fingerprint& request, const Report& report, Instant now)
{
    if (answeredRecently(request, now)) {
        return;
    }
    if (!suspects_.contains(request) && suspects_.size() >= limits_.maxSuspects) {
        evictSuspect();
    }
    Suspect& suspect = suspects_[request];
    InstanceReports& lossReports = suspect.endedInstances[*report.failedInstance];
    lossReports.reports.insert(report.id);
    lossReports.lastReport = now;
    suspect.lastReport = now;
}

void Quarantine::clearSuspicion(const Fingerprint& request) { suspects_.erase(request); }

// Evicts the suspect with the fewest ended instances, and among equals the one reported longest ago. A flood of
// requests that were lost once then evicts only such requests, and a request that was lost with several instances
// stays.
void Quarantine::evictSuspect()
{
    const auto evictionOrder
        = [](const auto& entry) { return std::pair(entry.second.endedInstances.size(), entry.second.lastReport); };
    suspects_.erase(std::ranges::min_element(suspects_, {}, evictionOrder));
}

bool Quarantine::namesRepeatSuspect(const Report& report) const
{
    return std::ranges::any_of(
        report.requests, [this](const Fingerprint& request) { return serversEnded(request) > 1; });
}

// Reports about a request that was lost several times are kept, however many reports about other requests arrive.
void Quarantine::evictReport()
{
    const auto isEvictable = [this](const ReportId& id) {
        const auto stored = reports_.find(id);
        return stored == reports_.end() || !namesRepeatSuspect(stored->second.report);
    };
    auto victim = std::ranges::find_if(arrivalOrder_, isEvictable);
    victim = victim == arrivalOrder_.end() ? arrivalOrder_.begin() : victim;
    onWithdrawn(*victim);
    arrivalOrder_.erase(victim);
}

void Quarantine::onWithdrawn(const ReportId& id)
{
    const auto stored = reports_.find(id);
    if (stored == reports_.end()) {
        return;
    }
    const Report& report = stored->second.report;
    for (const Fingerprint& request : report.requests) {
        const auto suspect = suspects_.find(request);
        if (suspect == suspects_.end() || !report.failedInstance) {
            continue;
        }
        const auto lossReports = suspect->second.endedInstances.find(*report.failedInstance);
        if (lossReports != suspect->second.endedInstances.end() && lossReports->second.reports.erase(id) > 0
            && lossReports->second.reports.empty()) {
            suspect->second.endedInstances.erase(lossReports);
        }
        if (suspect->second.endedInstances.empty()) {
            suspects_.erase(suspect);
        }
    }
    reports_.erase(stored);
}

void Quarantine::onAnswered(const Fingerprint& request, Instant now)
{
    answered_[request] = now;
    answeredOrder_.emplace_back(now, request);
    while (answeredOrder_.size() > limits_.maxAnswered) {
        const auto& [at, oldest] = answeredOrder_.front();
        if (const auto stored = answered_.find(oldest); stored != answered_.end() && stored->second == at) {
            answered_.erase(stored);
        }
        answeredOrder_.pop_front();
    }
    clearSuspicion(request);
}

bool Quarantine::answeredRecently(const Fingerprint& request, Instant now) const
{
    const auto answered = answered_.find(request);
    return answered != answered_.end() && now - answered->second < limits_.answerLifetime;
}

std::size_t Quarantine::serversEnded(const Fingerprint& request) const
{
    const auto suspect = suspects_.find(request);
    return suspect == suspects_.end() ? 0 : suspect->second.endedInstances.size();
}

std::optional<QuarantineEntry> Quarantine::quarantineEntry(const Fingerprint& request) const
{
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end() || suspect->second.endedInstances.size() < limits_.maxServersEnded) {
        return std::nullopt;
    }
    std::vector<Instant> reportTimes;
    for (const auto& [instance, lossReports] : suspect->second.endedInstances) {
        reportTimes.push_back(lossReports.lastReport);
    }
    // The request may be sent again once so many reports have expired that fewer than `maxServersEnded` are left.
    const auto decidingReport = reportTimes.end() - static_cast<std::ptrdiff_t>(limits_.maxServersEnded);
    std::ranges::nth_element(reportTimes, decidingReport);
    return QuarantineEntry { reportTimes.size(), *decidingReport + limits_.lifetime };
}

std::vector<ReportId> Quarantine::expire(Instant now)
{
    std::vector<ReportId> expired;
    while (!arrivalOrder_.empty()) {
        const auto stored = reports_.find(arrivalOrder_.front());
        if (stored != reports_.end() && now - stored->second.receivedAt < limits_.lifetime) {
            break;
        }
        if (stored != reports_.end()) {
            expired.push_back(arrivalOrder_.front());
            onWithdrawn(arrivalOrder_.front());
        }
        arrivalOrder_.pop_front();
    }
    return expired;
}

} // namespace swiftlift::quarantine
