#include "routing/Breaker.h"

#include <algorithm>

namespace swiftlift::routing {

Breaker::Breaker(const TableSettings& settings, std::uint64_t seed)
    : firstOpenTime_(settings.breakerFirstOpen)
    , maxOpenTime_(settings.breakerLongestOpen)
    , slowStartTime_(settings.slowStart)
    , failuresToOpen_(settings.breakerFailures)
    , random_(seed)
    , nextOpenTime_(settings.breakerFirstOpen)
{
}

void Breaker::onSuccess(Instant now)
{
    failures_ = 0;
    if (openUntil_) {
        restart(now);
        return;
    }
    // The open time keeps growing for a backend server that fails again and again during its slow start; a success
    // after the slow start resets it.
    if (!slowStart(now)) {
        nextOpenTime_ = firstOpenTime_;
    }
}

// Attempts that were sent before the breaker opened may fail later. If their failures counted as the probe's, the
// breaker of a backend server that works again would stay open.
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

// The jitter, from 3/4 to 5/4 of the open time, keeps routers that met the same failure from probing at the same
// moment.
void Breaker::trip(Instant now)
{
    const auto jitterRange = static_cast<std::uint64_t>(nextOpenTime_.count() / 2 + 1);
    openUntil_ = now + nextOpenTime_ * 3 / 4 + Duration { static_cast<Duration::rep>(random_() % jitterRange) };
    nextOpenTime_ = std::min(nextOpenTime_ * 2, maxOpenTime_);
    probe_.reset();
    slowStartBegan_.reset();
    failures_ = 0;
}

void Breaker::forget()
{
    failures_ = 0;
    openUntil_.reset();
    probe_.reset();
    nextOpenTime_ = firstOpenTime_;
}

void Breaker::onDispatched(AttemptId attempt, Instant now)
{
    if (mayProbe(now)) {
        probe_ = attempt;
    }
}

void Breaker::onInconclusiveEnd(AttemptId attempt)
{
    if (probe_ == attempt) {
        probe_.reset();
    }
}

void Breaker::allowProbe(Instant now)
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
    slowStartBegan_ = now;
}

bool Breaker::open(Instant now) const { return openUntil_ && (now < *openUntil_ || probe_); }

bool Breaker::mayProbe(Instant now) const { return openUntil_ && now >= *openUntil_ && !probe_; }

bool Breaker::slowStart(Instant now) const { return slowStartBegan_ && now - *slowStartBegan_ < slowStartTime_; }

std::uint32_t Breaker::allowed(std::uint32_t slots, Instant now) const
{
    if (!slowStart(now)) {
        return UINT32_MAX;
    }
    const auto passed = static_cast<std::uint64_t>((now - *slowStartBegan_).count());
    const auto total = static_cast<std::uint64_t>(slowStartTime_.count());
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots * passed / total));
}

} // namespace swiftlift::routing
