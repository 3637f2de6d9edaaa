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
    /** Longest time for which a router gives up places that the server didn't have. */
    constexpr Duration longestReduction = std::chrono::seconds(16);
    /** Refusals that a server must bear in a second for trials of routers that have a part of its room. */
    constexpr double minBearableWithPart = 2;
    /** Times in which a request runs until what fills a server has ended. */
    constexpr int drainFactor = 2;
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
        reducedUntil_ = {};
        reduction_ = {};
    }
}

std::uint32_t RoomLimiter::occupied(std::uint32_t inProgress, Instant now) const noexcept
{
    const auto running = std::ranges::count_if(cancelled_, [&](Instant until) { return until > now; });
    return inProgress + static_cast<std::uint32_t>(running);
}

std::uint32_t RoomLimiter::level(Instant now) const noexcept
{
    assert(part_ && "only a brittle server's room is limited");
    const std::uint32_t part = std::min(part_->guaranteed, reducedPart(now));
    return now < drainEnd_ ? std::min(drainLevel_, part) : part;
}

// Room that was too small once is tried again one place at a time: all routers do so at about the same time.
std::uint32_t RoomLimiter::reducedPart(Instant now) const noexcept
{
    if (now < reducedUntil_ || reduction_ <= Duration {}) {
        return reduction_ <= Duration {} ? UINT32_MAX : reducedPart_;
    }
    const auto steps = (now - reducedUntil_) / reduction_ + 1;
    return reducedPart_ + static_cast<std::uint32_t>(std::min<Duration::rep>(steps, part_->guaranteed));
}

// A router without a part has no other way in. One with a part doesn't risk a server that can't bear two refusals.
bool RoomLimiter::mayTry(Instant now) const noexcept
{
    const bool isWorthTheRisk = part_->guaranteed == 0 || part_->bearable >= minBearableWithPart;
    return isWorthTheRisk && now >= pauseEnd_ && now - lastTrial_ >= trialTime;
}

RoomUse RoomLimiter::use(std::uint32_t inProgress, Instant now) const noexcept
{
    if (!part_) {
        return RoomUse::Free;
    }
    if (now - lastSent_ < part_->gap) {
        return RoomUse::None;
    }
    if (occupied(inProgress, now) < level(now)) {
        return RoomUse::Free;
    }
    return mayTry(now) ? RoomUse::Trial : RoomUse::None;
}

Instant RoomLimiter::freeAt(std::uint32_t inProgress, Instant now) const noexcept
{
    if (use(inProgress, now) != RoomUse::None) {
        return now;
    }
    const Instant spaced = lastSent_ + part_->gap;
    return occupied(inProgress, now) < level(now) ? spaced : std::max({ spaced, pauseEnd_, lastTrial_ + trialTime });
}

bool RoomLimiter::onDispatched(std::uint32_t inProgress, Instant now)
{
    if (!part_) {
        return false;
    }
    lastSent_ = now;
    if (occupied(inProgress, now) < level(now)) {
        return false;
    }
    lastTrial_ = now;
    return true;
}

void RoomLimiter::onPartRefused(std::uint32_t inProgress, Instant at)
{
    if (!part_) {
        return;
    }
    const std::uint32_t left = occupied(inProgress, at);
    if (at < reducedUntil_) {
        reducedPart_ = std::min(reducedPart_, left);
        return;
    }
    reducedPart_ = left;
    const bool isFollowing = reduction_ > Duration {} && at < reducedUntil_ + 2 * reduction_;
    reduction_ = isFollowing ? std::min(2 * reduction_, longestReduction) : pause();
    reducedUntil_ = at + reduction_;
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
        pauseEnd_ = std::max(pauseEnd_, at + pause());
    }
}

void RoomLimiter::clear() noexcept
{
    cancelled_.clear();
    pausesInRow_ = 0;
    pauseEnd_ = {};
    drainEnd_ = {};
    reducedUntil_ = {};
    reduction_ = {};
}

} // namespace swiftlift::routing::internal
