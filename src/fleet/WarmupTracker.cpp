#include "swiftlift/fleet/WarmupTracker.h"

#include <algorithm>

namespace swiftlift::fleet {

void WarmupTracker::onEntry(const BackendServer& server, Duration warmup, Instant now)
{
    const bool justStarted = hasJustStarted(server);
    Known& known = servers_[server.id];
    known.startedAt = std::max(known.startedAt, server.startedAt);
    extend(known, now + server.warmupLeft);
    if (justStarted) {
        extend(known, now + warmup);
    }
}

// Entries of running servers lapse while the log is unreachable, and return under the same id and start time.
bool WarmupTracker::hasJustStarted(const BackendServer& server) const
{
    if (!allListed_) {
        return false;
    }
    if (const auto known = servers_.find(server.id); known != servers_.end()) {
        return server.startedAt > known->second.startedAt;
    }
    const auto removed = removed_.find(server.id);
    return removed == removed_.end() || server.startedAt > removed->second;
}

void WarmupTracker::extend(Known& known, Instant until) noexcept { known.coldUntil = std::max(known.coldUntil, until); }

void WarmupTracker::onTurnedCold(const BackendId& server, Duration warmup, Instant now)
{
    if (const auto known = servers_.find(server); known != servers_.end()) {
        extend(known->second, now + warmup);
    }
}

void WarmupTracker::onRemoved(const BackendId& server)
{
    const auto known = servers_.find(server);
    if (known == servers_.end()) {
        return;
    }
    if (removed_.insert_or_assign(server, known->second.startedAt).second) {
        removalOrder_.push_back(server);
    }
    servers_.erase(known);
    if (removalOrder_.size() > maxRemoved) {
        removed_.erase(removalOrder_.front());
        removalOrder_.pop_front();
    }
}

std::optional<Instant> WarmupTracker::coldUntil(const BackendId& server, Instant now) const
{
    const auto known = servers_.find(server);
    const bool cold = known != servers_.end() && now < known->second.coldUntil;
    return cold ? std::optional(known->second.coldUntil) : std::nullopt;
}

} // namespace swiftlift::fleet
