#include "routing/LoadEstimate.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    // Weight of a new sample: one in eight.
    constexpr int holdSmoothing = 8;

} // namespace

LoadEstimate::LoadEstimate(const TableSettings& settings, std::uint32_t slots)
    : lag_(settings.reportLag)
    , lifetime_(settings.reportLifetime)
    , slots_(std::max<std::uint32_t>(slots > 0 ? slots : settings.assumedSlots, 1))
    , hold_(settings.assumedHold)
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
    // Only a backend server that lets requests wait shows how many it runs at once.
    slots_ = report.waiting > 0 ? std::max<std::uint32_t>(report.running, 1) : std::max(slots_, report.running);
    const Instant shown = now - lag_;
    std::erase_if(finished_, [&](const Finished& finished) { return finished.ended <= shown; });
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
        finished_.push_back(Finished { sent, now });
    }
    const Duration ran = now - sent;
    if (completed) {
        hold_ += (ran - hold_) / holdSmoothing;
    }
    return ran;
}

void LoadEstimate::restart()
{
    finished_.clear();
    reported_ = 0;
    reportedAt_.reset();
}

// Reports are some hundred milliseconds old. Between two of them a router that believed them would send everything to
// the backend server that looked best in the last one.
LoadNow LoadEstimate::now(Instant now) const
{
    std::int64_t total = inFlight();
    if (reportedAt_ && now - *reportedAt_ <= lifetime_) {
        const Instant shown = *reportedAt_ - lag_;
        total = reported_;
        for (const auto& [attempt, sent] : running_) {
            total += sent > shown ? 1 : 0;
        }
        for (const Finished& finished : finished_) {
            total -= finished.sent <= shown && finished.ended > shown ? 1 : 0;
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
