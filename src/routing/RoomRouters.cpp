#include "routing/RoomRouters.h"

#include <chrono>

namespace swiftlift::routing::internal {

namespace {

    /** Time for which a router that has left the list keeps its part. */
    constexpr Duration departedTime = std::chrono::seconds(30);

} // namespace

void RoomRouters::onListed(const PeerAddress& self, const std::vector<PeerAddress>& listed, Instant now)
{
    for (const PeerAddress& router : listed_) {
        departed_.try_emplace(router, now);
    }
    for (const PeerAddress& router : listed) {
        departed_.erase(router);
    }
    departed_.erase(self);
    listed_ = listed;
    changedAt_ = now;
    (void)expire(now);
    rebuild();
}

bool RoomRouters::expire(Instant now)
{
    const bool hasExpired
        = std::erase_if(departed_, [&](const auto& entry) { return now - entry.second >= departedTime; }) > 0;
    if (hasExpired) {
        rebuild();
    }
    return hasExpired;
}

void RoomRouters::rebuild()
{
    routers_ = listed_;
    for (const auto& [router, at] : departed_) {
        routers_.push_back(router);
    }
}

} // namespace swiftlift::routing::internal
