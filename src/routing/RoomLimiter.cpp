#include "routing/RoomLimiter.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace swiftlift::routing::internal {

namespace {

    /** Pause after a refusal, for a server that bears one in a second; one that bears more is tried sooner. */
    constexpr Duration longestPause = std::chrono::seconds(3);
    constexpr Duration shortestPause = std::chrono::milliseconds(250);
    /** Largest factor of the pause, where each trial after a pause is turned away. */
    constexpr std::uint32_t maxDoublings = 2;
    /** Longest time after a refusal in which the server's room counts as smaller than all parts together. */
    constexpr Duration longestProvenTime = std::chrono::seconds(60);
    /** Times in which a request runs until the room may be as large as all parts together. */
    constexpr int provenFactor = 4;
    /** Refusals that a server must bear in a second for trials of routers that have a part of its room. */
    constexpr double minBearableWithPart = 2;
    /** Times in which a request runs until what fills a server has ended. */
    constexpr int drainFactor = 2;

} // namespace

void RoomLimiter::setPart(const std::optional<RoomPart>& part, Instant now)
{
    if (part && !part_) {
        lastTrial_ = now - std::chrono::duration_cast<Duration>(part->trialGap * part->rank);
    }
    // Who had the places that were added may not know yet that they aren't its own any more.
    if (part && part_ && part->guaranteed > part_->guaranteed && now >= provenUntil_) {
        provenLevel_ = part_->guaranteed;
        provenUntil_ = now + longestProvenTime;
    }
    part_ = part;
    if (!part_) {
        pausesInRow_ = 0;
        pauseEnd_ = {};
        drainEnd_ = {};
    }
}

std::uint32_t RoomLimiter::occupied(std::uint32_t inProgress, Instant now) const noexcept
{
    const auto running = std::ranges::count_if(leftBehind_, [&](Instant until) { return until > now; });
    return inProgress + static_cast<std::uint32_t>(running);
}

std::uint32_t RoomLimiter::level(Instant now) const noexcept
{
    assert(part_ && "only a brittle server's room is limited");
    std::uint32_t level = part_->guaranteed;
    if (now < provenUntil_) {
        level = std::min(level, provenLevel_);
    }
    return now < drainEnd_ ? std::min(drainLevel_, level) : level;
}

// A router without a part has no other way in. One with a part doesn't risk a server that can't bear two refusals.
bool RoomLimiter::mayTry(std::uint32_t taken, Instant now) const noexcept
{
    const bool isWorthTheRisk
        = part_->guaranteed == 0 || taken < part_->guaranteed || part_->bearable >= minBearableWithPart;
    return isWorthTheRisk && now >= nextTrial(taken);
}

Instant RoomLimiter::nextTrial(std::uint32_t taken) const noexcept
{
    const Instant afterPause = taken < part_->guaranteed ? pauseEnd_ : std::max(pauseEnd_, servicePauseEnd_);
    const Instant informedAt = part_->bearable < minBearableWithPart ? newsAt_ : Instant {};
    return std::max({ informedAt, afterPause, lastTrial_ + part_->trialGap });
}

RoomUse RoomLimiter::use(std::uint32_t inProgress, Instant now) const noexcept
{
    if (!part_) {
        return RoomUse::Free;
    }
    if (now - lastSent_ < part_->gap) {
        return RoomUse::None;
    }
    const std::uint32_t taken = occupied(inProgress, now);
    if (taken < level(now)) {
        return RoomUse::Free;
    }
    return mayTry(taken, now) ? RoomUse::Trial : RoomUse::None;
}

Instant RoomLimiter::freeAt(std::uint32_t inProgress, Instant now) const noexcept
{
    if (use(inProgress, now) != RoomUse::None) {
        return now;
    }
    const Instant spaced = lastSent_ + part_->gap;
    const std::uint32_t taken = occupied(inProgress, now);
    if (taken < level(now)) {
        return spaced;
    }
    return std::max(spaced, nextTrial(taken));
}

bool RoomLimiter::onDispatched(std::uint32_t inProgress, Instant now)
{
    if (!part_) {
        return false;
    }
    lastSent_ = now;
    const std::uint32_t taken = occupied(inProgress, now);
    if (taken < level(now)) {
        return false;
    }
    lastTrial_ = now;
    // A refusal takes this back.
    provenLevel_ = taken + 1;
    return true;
}

// The room is smaller than the sum of all parts, whatever holds it.
void RoomLimiter::shrink(std::uint32_t inProgress, Instant at, Duration runTime)
{
    const std::uint32_t left = std::min(part_->guaranteed, inProgress);
    provenLevel_ = at < provenUntil_ ? std::min(provenLevel_, left) : left;
    const bool isFollowing = provenTime_ > Duration {} && at < provenUntil_ + provenTime_;
    provenTime_ = isFollowing ? std::min(2 * provenTime_, longestProvenTime) : runTime * provenFactor;
    provenUntil_ = std::max(provenUntil_, at + provenTime_);
}

void RoomLimiter::onOwnRefused(RoomPlace place, std::uint32_t inProgress, Instant at, Duration runTime)
{
    if (!part_) {
        return;
    }
    if (place == RoomPlace::Part) {
        shrink(inProgress, at, runTime);
    } else {
        provenLevel_ = std::min(provenLevel_, inProgress);
    }
}

void RoomLimiter::onLeftBehind(Instant until, Instant now)
{
    if (until <= now) {
        return;
    }
    std::erase_if(leftBehind_, [&](Instant each) { return each <= now; });
    if (leftBehind_.size() >= maxLeftBehind) {
        leftBehind_.pop_front();
    }
    leftBehind_.push_back(until);
}

Duration RoomLimiter::shortPause() const noexcept
{
    const double bearable = std::max(part_->bearable, 1.0);
    return std::max(shortestPause, std::chrono::duration_cast<Duration>(longestPause / bearable));
}

Duration RoomLimiter::spread() const noexcept
{
    return std::chrono::duration_cast<Duration>(shortPause() * part_->rank);
}

Duration RoomLimiter::pause() const noexcept
{
    return (shortPause() + spread()) * (1U << std::min(pausesInRow_, maxDoublings));
}

void RoomLimiter::onTurnedAway(std::uint32_t inProgress, Instant at, Duration drainTime)
{
    if (!part_) {
        return;
    }
    // What was left behind may have ended there already, and others have taken its places.
    const std::uint32_t left = std::min(part_->guaranteed, inProgress);
    drainLevel_ = at < drainEnd_ ? std::min(drainLevel_, left) : left;
    if (part_->bearable < minBearableWithPart) {
        shrink(inProgress, at, drainTime);
    }
    const bool isFollowing = at < pauseEnd_ + pause();
    pausesInRow_ = at < pauseEnd_ ? pausesInRow_ : (isFollowing ? pausesInRow_ + 1 : 0);
    drainEnd_ = std::max(drainEnd_, at + drainTime * drainFactor);
    // Routers whose trials began together when the server has emptied would be turned away together.
    pauseEnd_ = std::max({ pauseEnd_, at + pause(), drainEnd_ + spread() });
}

void RoomLimiter::onServiceTurnedAway(Instant at)
{
    if (part_) {
        servicePauseEnd_ = std::max(servicePauseEnd_, at + pause());
    }
}

void RoomLimiter::onFormerProcess(const FormerProcess& former) noexcept
{
    provenLevel_ = 0;
    provenUntil_ = former.runsEnd;
    newsAt_ = former.newsAt;
}

void RoomLimiter::clear() noexcept
{
    leftBehind_.clear();
    pausesInRow_ = 0;
    pauseEnd_ = {};
    drainEnd_ = {};
    provenUntil_ = {};
    provenTime_ = {};
}

} // namespace swiftlift::routing::internal
