#include "node/RelayPeers.h"

#include <algorithm>
#include <tuple>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::node {

void RelayPeers::onHeartbeat(Incarnation from, const Heartbeat& heartbeat)
{
    if (heartbeat.relay.value().empty()) {
        known_.erase(from);
        return;
    }
    known_[from] = { heartbeat.relay, { heartbeat.unreachableDomains.begin(), heartbeat.unreachableDomains.end() } };
}

bool RelayPeers::isPaused(const PeerAddress& peer) const
{
    const auto found = pausedUntil_.find(peer);
    return found != pausedUntil_.end() && context_.now() < found->second;
}

bool RelayPeers::isDoubted(const PeerAddress& peer) const
{
    const auto found = experience_.find(peer);
    return found != experience_.end() && context_.now() < found->second.doubtedUntil;
}

std::uint32_t RelayPeers::inFlight(const PeerAddress& peer) const
{
    const auto found = inFlight_.find(peer);
    return found == inFlight_.end() ? 0 : found->second;
}

// Among equals the order is different for each router: routers that lose their links together would otherwise all send
// their first requests to the same peer.
std::optional<RelayRoute> RelayPeers::choose(
    const FailureDomain& domain, const std::set<PeerAddress>& excluded, const std::set<PeerAddress>& doubtful) const
{
    std::optional<RelayRoute> best;
    std::tuple<bool, std::uint32_t, std::uint64_t> bestCost;
    for (const Incarnation peer : peers_.membership().lenders()) {
        const auto known = known_.find(peer);
        const auto address = peers_.membership().addressOf(peer);
        const bool reaches = known != known_.end() && !known->second.unreachableDomains.contains(domain);
        if (!reaches || !address || excluded.contains(*address) || isPaused(*address)) {
            continue;
        }
        const std::uint64_t rank = rendezvousRank(context_.self().value(), stableHash(address->value()));
        const bool doubted = doubtful.contains(*address) || isDoubted(*address);
        const std::tuple cost { doubted, inFlight(*address), rank };
        if (!best || cost < bestCost) {
            best = RelayRoute { *address, known->second.relay };
            bestCost = cost;
        }
    }
    return best;
}

void RelayPeers::onReached(const PeerAddress& peer) { experience_[peer] = { true, {}, {} }; }

bool RelayPeers::onServerUnreachable(const PeerAddress& peer, const BackendId& backend)
{
    Experience& experience = experience_[peer];
    experience.unreachable.insert(backend);
    if (experience.unreachable.size() >= maxUnreachableInARow) {
        experience = { false, {}, context_.now() + failurePause };
    }
    return experience.reachedServer;
}

void RelayPeers::onFailed(const PeerAddress& peer)
{
    std::erase_if(pausedUntil_, [&](const auto& entry) { return entry.second <= context_.now(); });
    pausedUntil_[peer] = context_.now() + failurePause;
}

void RelayPeers::onEnded(const PeerAddress& peer)
{
    if (const auto found = inFlight_.find(peer); found != inFlight_.end() && --found->second == 0) {
        inFlight_.erase(found);
    }
}

} // namespace swiftlift::node
