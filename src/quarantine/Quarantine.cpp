#include "swiftlift/quarantine/Quarantine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::quarantine {

Quarantine::Quarantine(QuarantineLimits limits)
    : limits_(limits)
{
    assert(limits_.maxServersEnded > 0 && "a request that may end no server could never be sent");
}

void Quarantine::onReport(const Report& report, Instant now)
{
    const auto [known, added]
        = reports_.try_emplace(report.id, KnownReport { { report.id, {}, report.failedInstance }, now });
    if (added) {
        order_.push_back(report.id);
    }
    std::vector<Fingerprint>& requests = known->second.report.requests;
    for (const Fingerprint& request : report.requests) {
        if (std::ranges::find(requests, request) != requests.end()) {
            continue;
        }
        requests.push_back(request);
        if (report.failedInstance) {
            accuse(request, report, now);
        } else {
            acquit(request);
        }
    }
    if (reports_.size() > limits_.maxReports) {
        forgetOneReport();
    }
}

void Quarantine::accuse(const Fingerprint& request, const Report& report, Instant now)
{
    if (answeredRecently(request, now)) {
        return;
    }
    if (!suspects_.contains(request) && suspects_.size() >= limits_.maxSuspects) {
        forgetOneSuspect();
    }
    Suspect& suspect = suspects_[request];
    Ended& ended = suspect.ended[*report.failedInstance];
    ended.reports.insert(report.id);
    ended.lastReport = now;
    suspect.lastReport = now;
}

void Quarantine::acquit(const Fingerprint& request) { suspects_.erase(request); }

// Of suspects with as many ends the oldest goes. Who fills the table with requests that were lost once forgets those
// first, and a request under which more servers ended stays.
void Quarantine::forgetOneSuspect()
{
    const auto weight = [](const auto& entry) { return std::pair(entry.second.ended.size(), entry.second.lastReport); };
    suspects_.erase(std::ranges::min_element(suspects_, {}, weight));
}

bool Quarantine::weighs(const Report& report) const
{
    return std::ranges::any_of(
        report.requests, [this](const Fingerprint& request) { return serversEnded(request) > 1; });
}

// The reports on a request that comes again outlive any number of reports on its company.
void Quarantine::forgetOneReport()
{
    const auto light = [this](const ReportId& id) {
        const auto known = reports_.find(id);
        return known == reports_.end() || !weighs(known->second.report);
    };
    auto place = std::ranges::find_if(order_, light);
    place = place == order_.end() ? order_.begin() : place;
    onWithdrawn(*place);
    order_.erase(place);
}

void Quarantine::onWithdrawn(const ReportId& id)
{
    const auto known = reports_.find(id);
    if (known == reports_.end()) {
        return;
    }
    const Report& report = known->second.report;
    for (const Fingerprint& request : report.requests) {
        const auto suspect = suspects_.find(request);
        if (suspect == suspects_.end() || !report.failedInstance) {
            continue;
        }
        const auto ended = suspect->second.ended.find(*report.failedInstance);
        if (ended != suspect->second.ended.end() && ended->second.reports.erase(id) > 0
            && ended->second.reports.empty()) {
            suspect->second.ended.erase(ended);
        }
        if (suspect->second.ended.empty()) {
            suspects_.erase(suspect);
        }
    }
    reports_.erase(known);
}

void Quarantine::onAnswered(const Fingerprint& request, Instant now)
{
    answered_[request] = now;
    answeredOrder_.emplace_back(now, request);
    while (answeredOrder_.size() > limits_.maxAnswered) {
        const auto& [at, oldest] = answeredOrder_.front();
        if (const auto known = answered_.find(oldest); known != answered_.end() && known->second == at) {
            answered_.erase(known);
        }
        answeredOrder_.pop_front();
    }
    acquit(request);
}

bool Quarantine::answeredRecently(const Fingerprint& request, Instant now) const
{
    const auto answered = answered_.find(request);
    return answered != answered_.end() && now - answered->second < limits_.answerLifetime;
}

std::size_t Quarantine::serversEnded(const Fingerprint& request) const
{
    const auto suspect = suspects_.find(request);
    return suspect == suspects_.end() ? 0 : suspect->second.ended.size();
}

std::optional<QuarantineEntry> Quarantine::quarantineEntry(const Fingerprint& request) const
{
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end() || suspect->second.ended.size() < limits_.maxServersEnded) {
        return std::nullopt;
    }
    std::vector<Instant> reported;
    for (const auto& [instance, ended] : suspect->second.ended) {
        reported.push_back(ended.lastReport);
    }
    // It may be sent again once so many reports have become too old that fewer than the limit are left.
    const auto decisive = reported.end() - static_cast<std::ptrdiff_t>(limits_.maxServersEnded);
    std::ranges::nth_element(reported, decisive);
    return QuarantineEntry { reported.size(), *decisive + limits_.lifetime };
}

std::vector<ReportId> Quarantine::expire(Instant now)
{
    std::vector<ReportId> expired;
    while (!order_.empty()) {
        const auto known = reports_.find(order_.front());
        if (known != reports_.end() && now - known->second.knownSince < limits_.lifetime) {
            break;
        }
        if (known != reports_.end()) {
            expired.push_back(order_.front());
            onWithdrawn(order_.front());
        }
        order_.pop_front();
    }
    return expired;
}

} // namespace swiftlift::quarantine
