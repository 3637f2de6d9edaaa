#include "swiftlift/routing/LoadShedder.h"

#include <algorithm>

namespace swiftlift::routing {

LoadShedder::LoadShedder(LoadShedderLimits limits)
    : limits_(limits)
{
}

LoadShedVerdict LoadShedder::verdictOn(const ObservedLoad& load) const
{
    if (load.callerLeft) {
        return LoadShedVerdict::Drop;
    }
    const bool late = limits_.maxLag > Duration {} && load.lag > limits_.maxLag;
    const bool deep = limits_.maxWaiting > 0 && load.waiting > limits_.maxWaiting;
    return late || deep || linkBeyond(fullPercent) ? LoadShedVerdict::Refuse : LoadShedVerdict::Accept;
}

LoadShedVerdict LoadShedder::onRequest(const ObservedLoad& load, Instant now)
{
    const LoadShedVerdict verdict = verdictOn(load);
    const bool turnedAway = verdict != LoadShedVerdict::Accept;
    seen_.push_back({ now, turnedAway });
    turnedAway_ += turnedAway ? 1 : 0;
    forget(now);
    if (seen_.size() >= leastSeen && turnedAway_ * tooManyDivisor > seen_.size()) {
        pausedUntil_ = now + shortestPause;
    }
    return verdict;
}

void LoadShedder::onTraffic(const LinkTraffic& traffic, Instant now)
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

bool LoadShedder::linkBeyond(std::uint64_t percent) const
{
    constexpr std::uint64_t whole = 100;
    return limits_.linkBytesPerSecond > 0 && linkBytesPerSecond_ * whole > limits_.linkBytesPerSecond * percent;
}

bool LoadShedder::ready(Instant now)
{
    forget(now);
    return now >= pausedUntil_;
}

void LoadShedder::forget(Instant now)
{
    while (!seen_.empty() && now - seen_.front().at > window) {
        turnedAway_ -= seen_.front().turnedAway ? 1 : 0;
        seen_.pop_front();
    }
}

} // namespace swiftlift::routing
