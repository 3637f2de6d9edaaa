#include "swiftlift/routing/LoadShedder.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    [[nodiscard]] bool exceeds(Duration delay, Duration limit) { return limit > Duration {} && delay > limit; }

} // namespace

std::string_view toText(NotReadyCause cause) noexcept
{
    switch (cause) {
    case NotReadyCause::None:
        return "none";
    case NotReadyCause::Lag:
        return "lag";
    case NotReadyCause::Cpu:
        return "cpu";
    case NotReadyCause::Link:
        return "link";
    case NotReadyCause::Refusals:
        return "refusals";
    }
    return "none";
}

LoadShedder::LoadShedder(LoadShedderLimits limits)
    : limits_(limits)
    , cpu_(limits.cpuCores)
{
}

LoadShedVerdict LoadShedder::verdictFor(const ObservedLoad& load) const
{
    if (load.callerLeft) {
        return LoadShedVerdict::Drop;
    }
    const bool lagging = exceeds(load.lag, limits_.maxLag) || exceeds(load.eventDelay, limits_.maxEventDelay);
    const bool queueTooLong = limits_.maxWaiting > 0 && load.waiting > limits_.maxWaiting;
    return lagging || queueTooLong || linkLoadExceeds(fullPercent) ? LoadShedVerdict::Refuse : LoadShedVerdict::Accept;
}

LoadShedVerdict LoadShedder::onRequest(const ObservedLoad& load, Instant now)
{
    onEventDelay(load.eventDelay, now);
    const LoadShedVerdict verdict = verdictFor(load);
    const bool turnedAway = verdict != LoadShedVerdict::Accept;
    countedRequests_.push_back({ now, turnedAway });
    turnedAwayCount_ += turnedAway ? 1 : 0;
    removeOldRequests(now);
    if (countedRequests_.size() >= minRequests && turnedAwayCount_ * turnedAwayDivisor > countedRequests_.size()) {
        refusalsUntil_ = now + notReadyTime;
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
        linkBusyUntil_ = now + notReadyTime;
    }
}

void LoadShedder::onEventDelay(Duration delay, Instant now)
{
    if (exceeds(delay, limits_.readyEventDelay)) {
        lagUntil_ = now + notReadyTime;
    }
    if (exceeds(delay, limits_.maxEventDelay)) {
        longLagUntil_ = now + notReadyTime;
    }
}

void LoadShedder::onCpuTime(Duration used, Instant now)
{
    cpu_.onCpuTime(used, now);
    if (cpu_.share() >= busyCpuShare) {
        cpuBusyUntil_ = now + notReadyTime;
    }
}

Duration LoadShedder::retryAfter(const ObservedLoad& load)
{
    // Events that have waited for some time need about as long again, beside those that arrive meanwhile.
    return std::clamp(2 * load.eventDelay, minRetryAfter, maxRetryAfter);
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
    return notReadyCause(now) == NotReadyCause::None;
}

NotReadyCause LoadShedder::notReadyCause(Instant now) const
{
    const bool staysReady = cpu_.known() && overloadLimitReached_;
    if (now < longLagUntil_ || (now < lagUntil_ && !staysReady)) {
        return NotReadyCause::Lag;
    }
    if (now < cpuBusyUntil_ && !staysReady) {
        return NotReadyCause::Cpu;
    }
    if (now < linkBusyUntil_) {
        return NotReadyCause::Link;
    }
    return now < refusalsUntil_ ? NotReadyCause::Refusals : NotReadyCause::None;
}

void LoadShedder::removeOldRequests(Instant now)
{
    while (!countedRequests_.empty() && now - countedRequests_.front().at > window) {
        turnedAwayCount_ -= countedRequests_.front().turnedAway ? 1 : 0;
        countedRequests_.pop_front();
    }
}

} // namespace swiftlift::routing
