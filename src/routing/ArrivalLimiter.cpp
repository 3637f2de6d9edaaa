#include "routing/ArrivalLimiter.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::routing::internal {

namespace {

    /** Time for which requests are remembered before a limit is known. */
    constexpr Duration minMemory = std::chrono::seconds(4);

} // namespace

void ArrivalLimiter::setLimit(LimitCause cause, const std::optional<ArrivalLimit>& limit)
{
    limits_[static_cast<std::size_t>(cause)] = limit;
}

Duration ArrivalLimiter::memory() const noexcept
{
    Duration longest = minMemory;
    for (const auto& limit : limits_) {
        longest = limit ? std::max(longest, limit->share.window) : longest;
    }
    return longest;
}

void ArrivalLimiter::onDispatched(Instant now)
{
    const Instant oldest = now - memory();
    const auto firstKept = std::ranges::find_if(sent_, [&](Instant at) { return at > oldest; });
    sent_.erase(sent_.begin(), firstKept);
    if (sent_.size() >= maxRemembered) {
        sent_.erase(sent_.begin());
    }
    sent_.push_back(now);
}

std::size_t ArrivalLimiter::sentSince(Instant from) const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(sent_, [&](Instant at) { return at > from; }));
}

bool ArrivalLimiter::isLimited(LimitCause cause, Instant now) const noexcept
{
    return limitOf(cause) && now < limitOf(cause)->until;
}

bool ArrivalLimiter::holdsBack(LimitCause cause, Instant now) const noexcept
{
    if (!isLimited(cause, now)) {
        return false;
    }
    const FleetShare& share = limitOf(cause)->share;
    if (share.requests == 0) {
        return true;
    }
    return share.requests <= sent_.size() && now - sent_[sent_.size() - share.requests] < share.window;
}

std::optional<LimitCause> ArrivalLimiter::heldBackBy(Instant now) const noexcept
{
    const auto cause = std::ranges::find_if(limitCauses, [&](LimitCause each) { return holdsBack(each, now); });
    return cause == limitCauses.end() ? std::nullopt : std::optional(*cause);
}

Instant ArrivalLimiter::freeAt(LimitCause cause, Instant now) const noexcept
{
    const ArrivalLimit& limit = *limitOf(cause);
    const std::uint32_t requests = limit.share.requests;
    // Without a share, only the end of the limit helps; where that is unknown, it is worth another look after a window.
    if (requests == 0) {
        return limit.until == Instant::max() ? now + limit.share.window : limit.until;
    }
    return std::min(sent_[sent_.size() - requests] + limit.share.window, limit.until);
}

Instant ArrivalLimiter::freeAt(Instant now) const noexcept
{
    Instant latest = now;
    for (const LimitCause cause : limitCauses) {
        latest = holdsBack(cause, now) ? std::max(latest, freeAt(cause, now)) : latest;
    }
    return latest;
}

} // namespace swiftlift::routing::internal
