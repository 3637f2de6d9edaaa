#include "routing/LoadEstimate.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    // A new sample has a weight of 1/8.
    constexpr int serviceTimeSmoothing = 8;

} // namespace

LoadEstimate::LoadEstimate(const TableSettings& settings, std::uint32_t slots)
    : reportLag_(settings.reportLag)
    , reportLifetime_(settings.reportLifetime)
    , slots_(std::max<std::uint32_t>(slots > 0 ? slots : settings.assumedSlots, 1))
    , serviceTime_(settings.assumedHold)
    , step_(settings.assumedStep)
{
}

void LoadEstimate::onReport(const LoadReport& report, Instant now)
{
    reported_ = report.running + report.waiting;
    reportedAt_ = now;
    if (report.step > Duration {}) {
        step_ = report.step;
    }
    // A load report shows how many requests the backend server runs at once only if requests wait there.
    slots_ = report.waiting > 0 ? std::max<std::uint32_t>(report.running, 1) : std::max(slots_, report.running);
    const Instant reportedMoment = now - reportLag_;
    std::erase_if(finished_, [&](const FinishedAttempt& finished) { return finished.ended <= reportedMoment; });
}

void LoadEstimate::onDispatched(AttemptId attempt, Instant now) { running_[attempt] = now; }

std::optional<Duration> LoadEstimate::onFinished(AttemptId attempt, bool completed, Instant now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return std::nullopt;
    }
    const Instant sent = found->second;
    running_.erase(found);
    if (reportedAt_) {
        finished_.push_back(FinishedAttempt { sent, now });
    }
    const Duration ran = now - sent;
    if (completed) {
        serviceTime_ += (ran - serviceTime_) / serviceTimeSmoothing;
    }
    return ran;
}

void LoadEstimate::restart()
{
    finished_.clear();
    reported_ = 0;
    reportedAt_.reset();
}

// Load reports are some hundred milliseconds old. A router that relied on them alone would send all requests between
// two reports to the backend server that looked best in the first.
LoadNow LoadEstimate::now(Instant now) const
{
    std::int64_t total = inFlight();
    if (reportedAt_ && now - *reportedAt_ <= reportLifetime_) {
        const Instant reportedMoment = *reportedAt_ - reportLag_;
        total = reported_;
        for (const auto& [attempt, sent] : running_) {
            total += sent > reportedMoment ? 1 : 0;
        }
        for (const FinishedAttempt& finished : finished_) {
            total -= finished.sent <= reportedMoment && finished.ended > reportedMoment ? 1 : 0;
        }
    }
    total = std::max<std::int64_t>(total, inFlight());
    const std::int64_t running = std::min<std::int64_t>(total, slots_);
    return { static_cast<std::uint32_t>(running), static_cast<std::uint32_t>(total - running) };
}

std::optional<Duration> LoadEstimate::reportAge(Instant now) const
{
    if (!reportedAt_) {
        return std::nullopt;
    }
    return now - *reportedAt_;
}

} // namespace swiftlift::routing
