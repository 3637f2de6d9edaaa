#include "routing/WarmupLimiter.h"

#include <algorithm>

namespace swiftlift::routing::internal {

void WarmupLimiter::setLimit(const std::optional<WarmupLimit>& limit)
{
    limit_ = limit;
    if (!limit_) {
        sent_.clear();
    }
}

void WarmupLimiter::onDispatched(Instant now)
{
    if (!limit_) {
        return;
    }
    while (!sent_.empty() && now - sent_.front() >= limit_->share.window) {
        sent_.pop_front();
    }
    sent_.push_back(now);
}

bool WarmupLimiter::holdsBack(Instant now) const noexcept
{
    if (!isCold(now)) {
        return false;
    }
    const auto first = std::ranges::find_if(sent_, [&](Instant at) { return now - at < limit_->share.window; });
    return static_cast<std::size_t>(sent_.end() - first) >= limit_->share.requests;
}

Instant WarmupLimiter::freeAt(Instant now) const noexcept
{
    if (!holdsBack(now)) {
        return now;
    }
    const std::uint32_t requests = limit_->share.requests;
    if (requests == 0 || sent_.size() < requests) {
        return limit_->coldUntil;
    }
    return std::min(sent_[sent_.size() - requests] + limit_->share.window, limit_->coldUntil);
}

} // namespace swiftlift::routing::internal
