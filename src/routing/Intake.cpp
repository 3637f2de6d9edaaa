#include "swiftlift/routing/Intake.h"

#include <algorithm>

namespace swiftlift::routing {

Intake::Intake(IntakeLimits limits)
    : limits_(limits)
{
}

IntakeVerdict Intake::verdictOn(const IntakeLoad& load) const
{
    if (load.callerLeft) {
        return IntakeVerdict::Drop;
    }
    const bool late = limits_.mostLag > Duration {} && load.lag > limits_.mostLag;
    const bool deep = limits_.mostWaiting > 0 && load.waiting > limits_.mostWaiting;
    return late || deep || linkBeyond(fullPercent) ? IntakeVerdict::Refuse : IntakeVerdict::TakeIn;
}

IntakeVerdict Intake::onRequest(const IntakeLoad& load, Instant now)
{
    const IntakeVerdict verdict = verdictOn(load);
    const bool turnedAway = verdict != IntakeVerdict::TakeIn;
    seen_.push_back({ now, turnedAway });
    turnedAway_ += turnedAway ? 1 : 0;
    forget(now);
    if (seen_.size() >= leastSeen && turnedAway_ * tooManyDivisor > seen_.size()) {
        pausedUntil_ = now + shortestPause;
    }
    return verdict;
}

void Intake::onTraffic(const LinkTraffic& traffic, Instant now)
{
    const Duration passed = now - windowBeganAt_;
    if (passed < linkWindow) {
        return;
    }
    const std::uint64_t bytes = std::max(traffic.received - windowBegan_.received, traffic.sent - windowBegan_.sent);
    linkBytesPerSecond_ = bytes * static_cast<std::uint64_t>(std::chrono::microseconds(std::chrono::seconds(1)).count())
        / static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(passed).count());
    windowBegan_ = traffic;
    windowBeganAt_ = now;
    if (linkBeyond(busyPercent)) {
        pausedUntil_ = now + shortestPause;
    }
}

bool Intake::linkBeyond(std::uint64_t percent) const
{
    constexpr std::uint64_t whole = 100;
    return limits_.linkBytesPerSecond > 0 && linkBytesPerSecond_ * whole > limits_.linkBytesPerSecond * percent;
}

bool Intake::ready(Instant now)
{
    forget(now);
    return now >= pausedUntil_;
}

void Intake::forget(Instant now)
{
    while (!seen_.empty() && now - seen_.front().at > window) {
        turnedAway_ -= seen_.front().turnedAway ? 1 : 0;
        seen_.pop_front();
    }
}

} // namespace swiftlift::routing
