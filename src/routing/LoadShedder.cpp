#include "swiftlift/routing/LoadShedder.h"

#include <algorithm>

namespace swiftlift::routing {

LoadShedder::LoadShedder(LoadShedderLimits limits)
    : limits_(limits)
{
}

LoadShedVerdict LoadShedder::verdictFor(const ObservedLoad& load) const
{
    if (load.callerLeft) {
        return LoadShedVerdict::Drop;
    }
    const bool lagging = limits_.maxLag > Duration {} && load.lag > limits_.maxLag;
    const bool queueTooLong = limits_.maxWaiting > 0 && load.waiting > limits_.maxWaiting;
    return lagging || queueTooLong || linkLoadExceeds(fullPercent) ? LoadShedVerdict::Refuse : LoadShedVerdict::Accept;
}

LoadShedVerdict LoadShedder::onRequest(const ObservedLoad& load, Instant now)
{
    const LoadShedVerdict verdict = verdictFor(load);
    const bool turnedAway = verdict != LoadShedVerdict::Accept;
    countedRequests_.push_back({ now, turnedAway });
    turnedAwayCount_ += turnedAway ? 1 : 0;
    removeOldRequests(now);
    if (countedRequests_.size() >= minRequests && turnedAwayCount_ * turnedAwayDivisor > countedRequests_.size()) {
        notReadyUntil_ = now + notReadyTime;
    }
    return verdict;
}

void LoadShedder::onTraffic(const LinkTraffic& traffic, Instant now)
{
    const Duration passed = now - windowStart_;
    if (passed < linkWindow) {
        return;
    }
    const std::uint64_t bytes
        = std::max(traffic.received - windowStartTraffic_.received, traffic.sent - windowStartTraffic_.sent);
    measuredBytesPerSecond_ = bytes
        * static_cast<std::uint64_t>(std::chrono::microseconds(std::chrono::seconds(1)).count())
        / static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(passed).count());
    windowStartTraffic_ = traffic;
    windowStart_ = now;
    if (linkLoadExceeds(busyPercent)) {
        notReadyUntil_ = now + notReadyTime;
    }
}

bool LoadShedder::linkLoadExceeds(std::uint64_t percent) const
{
    constexpr std::uint64_t hundredPercent = 100;
    return limits_.linkBytesPerSecond > 0
        && measuredBytesPerSecond_ * hundredPercent > limits_.linkBytesPerSecond * percent;
}

bool LoadShedder::ready(Instant now)
{
    removeOldRequests(now);
    return now >= notReadyUntil_;
}

void LoadShedder::removeOldRequests(Instant now)
{
    while (!countedRequests_.empty() && now - countedRequests_.front().at > window) {
        turnedAwayCount_ -= countedRequests_.front().turnedAway ? 1 : 0;
        countedRequests_.pop_front();
    }
}

} // namespace swiftlift::routing
