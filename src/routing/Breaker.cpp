#include "routing/Breaker.h"

#include <algorithm>

namespace swiftlift::routing {

Breaker::Breaker(const TableSettings& settings, std::uint64_t seed)
    : firstOpen_(settings.breakerFirstOpen)
    , longestOpen_(settings.breakerLongestOpen)
    , slowStart_(settings.slowStart)
    , failuresToOpen_(settings.breakerFailures)
    , random_(seed)
    , nextOpen_(settings.breakerFirstOpen)
{
}

void Breaker::onSuccess(Instant now)
{
    failures_ = 0;
    if (openUntil_) {
        restart(now);
        return;
    }
    // The open time grows over a flapping backend server; one that has held out for a slow start is whole again.
    if (!slowStart(now)) {
        nextOpen_ = firstOpen_;
    }
}

// Requests sent before the breaker opened go on failing for a while. Taken for the probe's failure, they would keep a
// backend server out that has come back.
void Breaker::onFailure(std::optional<AttemptId> attempt, Instant now)
{
    if (openUntil_) {
        if (probe_ && probe_ == attempt) {
            trip(now);
        }
        return;
    }
    ++failures_;
    if (failures_ >= failuresToOpen_) {
        trip(now);
    }
}

// Routers that saw the same failure would all probe at the same moment; the jitter spreads them.
void Breaker::trip(Instant now)
{
    const auto spread = static_cast<std::uint64_t>(nextOpen_.count() / 2 + 1);
    openUntil_ = now + nextOpen_ * 3 / 4 + Duration { static_cast<Duration::rep>(random_() % spread) };
    nextOpen_ = std::min(nextOpen_ * 2, longestOpen_);
    probe_.reset();
    slowFrom_.reset();
    failures_ = 0;
}

void Breaker::onDispatched(AttemptId attempt, Instant now)
{
    if (mayProbe(now)) {
        probe_ = attempt;
    }
}

void Breaker::onNothingLearnt(AttemptId attempt)
{
    if (probe_ == attempt) {
        probe_.reset();
    }
}

void Breaker::hasten(Instant now)
{
    if (openUntil_) {
        openUntil_ = std::min(*openUntil_, now);
    }
}

void Breaker::restart(Instant now)
{
    failures_ = 0;
    openUntil_.reset();
    probe_.reset();
    slowFrom_ = now;
}

bool Breaker::open(Instant now) const { return openUntil_ && (now < *openUntil_ || probe_); }

bool Breaker::mayProbe(Instant now) const { return openUntil_ && now >= *openUntil_ && !probe_; }

bool Breaker::slowStart(Instant now) const { return slowFrom_ && now - *slowFrom_ < slowStart_; }

std::uint32_t Breaker::allowed(std::uint32_t slots, Instant now) const
{
    if (!slowStart(now)) {
        return UINT32_MAX;
    }
    const auto passed = static_cast<std::uint64_t>((now - *slowFrom_).count());
    const auto whole = static_cast<std::uint64_t>(slowStart_.count());
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots * passed / whole));
}

} // namespace swiftlift::routing
