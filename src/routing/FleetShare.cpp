#include "swiftlift/routing/FleetShare.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <optional>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    /** Requests in a window below which an owner's share is not divided further. */
    constexpr std::uint32_t minOwnerRequests = 2;
    /** Requests are divided among this many owners even if fewer routers are registered: the list may be incomplete. */
    constexpr std::size_t assumedRouters = 4;
    /** More requests in a window than any router sends. */
    constexpr double maxRequests = 1'000'000;

    [[nodiscard]] double requestsIn(const FleetRate& rate)
    {
        const double seconds = std::chrono::duration<double>(rate.window).count();
        return std::min(std::floor(rate.perSecond * seconds), maxRequests);
    }

    /** @return Number of routers that rank above `self`; nullopt if it is not registered. */
    [[nodiscard]] std::optional<std::uint32_t> routersAbove(
        const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers)
    {
        const std::uint64_t key = stableHash(server.value());
        const std::uint64_t ownRank = rendezvousRank(key, stableHash(self.value()));
        std::uint32_t above = 0;
        bool registered = false;
        for (const PeerAddress& router : routers) {
            registered = registered || router == self;
            above += rendezvousRank(key, stableHash(router.value())) > ownRank ? 1 : 0;
        }
        return registered ? std::optional(above) : std::nullopt;
    }

} // namespace

double equalShare(double amount, const FleetSize& size) noexcept
{
    return size.registered ? amount / std::max(size.routers, 1U) : 0;
}

FleetShare fleetShare(
    const FleetRate& rate, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers)
{
    assert(rate.perSecond > 0 && "a server that accepts nothing has no shares of it");
    const auto position = routersAbove(server, self, routers);
    const double wholeRequests = requestsIn(rate);
    if (wholeRequests < 1) {
        const Duration window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate.perSecond));
        return { position == 0U ? 1U : 0U, window };
    }
    const auto requests = static_cast<std::uint32_t>(wholeRequests);
    const auto maxOwners = static_cast<std::uint32_t>(std::max(routers.size(), assumedRouters));
    const std::uint32_t owners = std::clamp(requests / minOwnerRequests, 1U, maxOwners);
    if (!position || *position >= owners) {
        return { 0, rate.window };
    }
    return { requests / owners + (*position < requests % owners ? 1 : 0), rate.window };
}

std::uint32_t roomShare(
    std::uint32_t places, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers)
{
    const auto position = routersAbove(server, self, routers);
    if (!position) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(std::max(routers.size(), assumedRouters));
    return places / count + (*position < places % count ? 1 : 0);
}

} // namespace swiftlift::routing
