#include "swiftlift/routing/WarmupShare.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::routing {

namespace {

    /** Number of owners of a cold server: the loss of one of them leaves most of what the server bears in use. */
    constexpr std::uint32_t maxOwners = 4;
    /** Requests per second below which an owner's share is not divided further. */
    constexpr double minOwnerRequests = 2;

    [[nodiscard]] std::uint32_t ownerCount(double perSecond)
    {
        const double useful = std::floor(perSecond / minOwnerRequests);
        return static_cast<std::uint32_t>(std::clamp(useful, 1.0, static_cast<double>(maxOwners)));
    }

    /** @return True if fewer than `owners` of the routers rank above `self`, and `self` is one of them. */
    [[nodiscard]] bool isOwner(
        const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers, std::uint32_t owners)
    {
        const std::uint64_t key = stableHash(server.value());
        const std::uint64_t ownRank = rendezvousRank(key, stableHash(self.value()));
        std::uint32_t above = 0;
        bool registered = false;
        for (const PeerAddress& router : routers) {
            registered = registered || router == self;
            above += rendezvousRank(key, stableHash(router.value())) > ownRank ? 1 : 0;
        }
        return registered && above < owners;
    }

} // namespace

WarmupShare warmupShare(
    double perSecond, const BackendId& server, const PeerAddress& self, const std::vector<PeerAddress>& routers)
{
    assert(perSecond > 0 && "a service without a rate of cold servers has no shares of it");
    const std::uint32_t owners = ownerCount(perSecond);
    if (!isOwner(server, self, routers, owners)) {
        return {};
    }
    if (perSecond < 1) {
        return { 1, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond)) };
    }
    return { static_cast<std::uint32_t>(std::floor(perSecond / owners)), std::chrono::seconds(1) };
}

} // namespace swiftlift::routing
