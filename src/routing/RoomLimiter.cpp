#include "routing/RoomLimiter.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::routing::internal {

namespace {

    /** Pause after a request was turned away, for a server that bears one a second; one that bears more is tried
     * sooner.
     */
    constexpr Duration longestPause = std::chrono::seconds(3);
    constexpr Duration shortestPause = std::chrono::milliseconds(250);
    /** Largest factor of the pause, where each trial after a pause is turned away. */
    constexpr std::uint32_t maxDoublings = 2;
    /** Requests that a server must be able to turn away in a second for trials of routers that have a part of its room.
     */
    constexpr double minBearableWithPart = 2;
    /** Times in which a request runs until what fills a server has ended. */
    constexpr int drainFactor = 2;
    /** The pause of the other servers of a service, as a part of that of the one that turned a request away. */
    constexpr int servicePausePart = 1;
    /** A request that was not turned away after this time has found room. */
    constexpr Duration trialTime = std::chrono::milliseconds(20);

} // namespace

void RoomLimiter::setPart(const std::optional<RoomPart>& part)
{
    part_ = part;
    if (!part_) {
        pausesInRow_ = 0;
        pauseEnd_ = {};
        drainEnd_ = {};
    }
}

std::uint32_t RoomLimiter::occupied(std::uint32_t inProgress, Instant now) const noexcept
{
    const auto running = std::ranges::count_if(cancelled_, [&](Instant until) { return until > now; });
    return inProgress + static_cast<std::uint32_t>(running);
}

std::uint32_t RoomLimiter::level(Instant now) const noexcept
{
    return now < drainEnd_ ? drainLevel_ : part_->guaranteed;
}

// A router without a part has no other way in. One with a part doesn't risk a server that can't bear two refusals.
bool RoomLimiter::mayTry(Instant now) const noexcept
{
    const bool isWorthTheRisk = part_->guaranteed == 0 || part_->bearable >= minBearableWithPart;
    return isWorthTheRisk && now >= pauseEnd_ && now - lastTrial_ >= trialTime;
}

RoomUse RoomLimiter::use(std::uint32_t inProgress, Instant now) const noexcept
{
    if (!part_ || occupied(inProgress, now) < level(now)) {
        return RoomUse::Free;
    }
    return mayTry(now) ? RoomUse::Trial : RoomUse::None;
}

Instant RoomLimiter::freeAt(std::uint32_t inProgress, Instant now) const noexcept
{
    return use(inProgress, now) == RoomUse::None ? std::max(pauseEnd_, lastTrial_ + trialTime) : now;
}

void RoomLimiter::onDispatched(std::uint32_t inProgress, Instant now)
{
    if (!part_) {
        return;
    }
    if (occupied(inProgress, now) >= level(now)) {
        lastTrial_ = now;
    }
}

void RoomLimiter::onCancelled(Instant until, Instant now)
{
    if (until <= now) {
        return;
    }
    std::erase_if(cancelled_, [&](Instant each) { return each <= now; });
    if (cancelled_.size() >= maxCancelled) {
        cancelled_.pop_front();
    }
    cancelled_.push_back(until);
}

Duration RoomLimiter::pause() const noexcept
{
    const double bearable = std::max(part_->bearable, 1.0);
    const auto once = std::max(shortestPause, std::chrono::duration_cast<Duration>(longestPause / bearable));
    const auto apart = std::chrono::duration_cast<Duration>(once * part_->rank);
    return (once + apart) * (1U << std::min(pausesInRow_, maxDoublings));
}

void RoomLimiter::onTurnedAway(std::uint32_t inProgress, Instant at, Duration drainTime)
{
    if (!part_) {
        return;
    }
    const std::uint32_t now = std::min(part_->guaranteed, occupied(inProgress, at));
    drainLevel_ = at < drainEnd_ ? std::min(drainLevel_, now) : now;
    const bool isFollowing = at < pauseEnd_ + pause();
    pausesInRow_ = at < pauseEnd_ ? pausesInRow_ : (isFollowing ? pausesInRow_ + 1 : 0);
    drainEnd_ = std::max(drainEnd_, at + drainTime * drainFactor);
    pauseEnd_ = std::max({ pauseEnd_, at + pause(), drainEnd_ });
}

void RoomLimiter::onServiceTurnedAway(Instant at)
{
    if (part_) {
        pauseEnd_ = std::max(pauseEnd_, at + pause() / servicePausePart);
    }
}

void RoomLimiter::clear() noexcept
{
    cancelled_.clear();
    pausesInRow_ = 0;
    pauseEnd_ = {};
    drainEnd_ = {};
}

} // namespace swiftlift::routing::internal
