#include "swiftlift/streams/Keepers.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::streams {

std::vector<PeerAddress> keepersOf(
    const StreamId& stream, const std::vector<KeeperCandidate>& routers, std::size_t count)
{
    const std::uint64_t key = stableHash(stream.value());
    std::vector<std::pair<std::uint64_t, const KeeperCandidate*>> ranked;
    ranked.reserve(routers.size());
    for (const KeeperCandidate& router : routers) {
        ranked.emplace_back(rendezvousRank(key, stableHash(router.address.value())), &router);
    }
    std::sort(
        ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    std::set<FailureDomain> domains;
    const auto isFirstOfDomain
        = [&domains](const auto& router) { return domains.insert(router.second->domain).second; };
    std::stable_partition(ranked.begin(), ranked.end(), isFirstOfDomain);
    std::vector<PeerAddress> keepers;
    for (const auto& [rank, router] : ranked) {
        if (keepers.size() == count) {
            break;
        }
        keepers.push_back(router->address);
    }
    return keepers;
}

} // namespace swiftlift::streams
