#include <algorithm>

#include "swiftlift/base/RendezvousHash.h"
#include "swiftlift/membership/Membership.h"

namespace swiftlift::membership {

namespace {

    /** Time from the start within which each live router of the own domain is heard. */
    constexpr Duration timeToHearDomain = std::chrono::seconds(10);

} // namespace

// Rendezvous hashing: each pair of routers has its own rank. Witnesses and lenders thus spread over the peers, and the
// loss of a peer affects only the routers that had chosen that peer.
std::uint64_t Membership::rank(Incarnation incarnation) const
{
    return rendezvousRank(settings_.self.value(), incarnation.value());
}

int Membership::distance(const Peer& peer) const
{
    if (peer.facts.domain == settings_.domain) {
        return 0;
    }
    return peer.facts.region == settings_.region ? 1 : 2;
}

bool Membership::isInOwnDomain(const PeerAddress& address) const
{
    if (const auto current = incarnationByAddress_.find(address); current != incarnationByAddress_.end()) {
        return peers_.at(current->second).facts.domain == settings_.domain;
    }
    const auto listed = listed_.find(address);
    return listed != listed_.end() && listed->second.domain == settings_.domain;
}

bool Membership::isEligible(const Peer& peer) const
{
    const auto listed = listed_.find(peer.address);
    const bool leaving = peer.facts.stopping || (listed != listed_.end() && listed->second.leaving);
    return peer.state == PeerState::Alive && !leaving;
}

bool Membership::mayWitness(Incarnation incarnation) const
{
    const auto found = peers_.find(incarnation);
    if (found == peers_.end() || !isEligible(found->second)) {
        return false;
    }
    return distance(found->second) == 0 || settings_.witnessPolicy == WitnessPolicy::OtherDomainWhenAlone;
}

bool Membership::mayBeRemoteReplica(Incarnation incarnation) const
{
    const auto found = peers_.find(incarnation);
    return found != peers_.end() && isEligible(found->second) && distance(found->second) > 0;
}

bool Membership::knowsRemoteVms() const
{
    const auto isListedRemote = [this](const auto& entry) { return entry.second.domain != settings_.domain; };
    const auto isRemotePeer = [this](const auto& entry) { return distance(entry.second) > 0; };
    return std::ranges::any_of(listed_, isListedRemote) || std::ranges::any_of(peers_, isRemotePeer);
}

std::vector<Incarnation> Membership::nearestFirst() const
{
    struct Ranked {
        int distance = 0;
        std::uint64_t rank = 0;
        Incarnation incarnation;
    };
    std::vector<Ranked> ranked;
    for (const auto& [incarnation, peer] : peers_) {
        if (peer.state == PeerState::Alive) {
            ranked.push_back(Ranked { distance(peer), rank(incarnation), incarnation });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        return left.distance != right.distance ? left.distance < right.distance : left.rank > right.rank;
    });
    std::vector<Incarnation> order;
    order.reserve(ranked.size());
    for (const Ranked& entry : ranked) {
        order.push_back(entry.incarnation);
    }
    return order;
}

std::vector<Incarnation> Membership::alivePeers() const { return nearestFirst(); }

std::vector<Incarnation> Membership::lenders() const
{
    std::vector<Incarnation> lenders = nearestFirst();
    std::erase_if(lenders, [this](Incarnation incarnation) { return !isEligible(peers_.at(incarnation)); });
    return lenders;
}

// The last report of a live peer in another failure domain can be as old as a whole rotation, 13 s among 81 routers. If
// reports of any age counted, some old report would still state that the log is reachable when all routers have lost
// the log. Routers would then wait for draws, lend little and return tokens that no router can draw any more. The
// symptom is refusals with `log_in_reach` true while every router's own `log` line says that the log is unreachable.
std::optional<Incarnation> Membership::logReachablePeer() const
{
    for (const Incarnation incarnation : nearestFirst()) {
        const Peer& peer = peers_.at(incarnation);
        if (peer.facts.logReachable && lastTick_ - peer.lastHeartbeatAt <= settings_.logReportLifetime) {
            return incarnation;
        }
    }
    return std::nullopt;
}

std::vector<Membership::Neighbor> Membership::neighbors() const
{
    std::vector<Neighbor> neighbors;
    for (const auto& [incarnation, peer] : peers_) {
        if (distance(peer) == 0 && isEligible(peer)) {
            neighbors.push_back({ incarnation, peer.facts.bandwidth });
        }
    }
    return neighbors;
}

std::map<FailureDomain, std::vector<Membership::Router>> Membership::routersByDomain() const
{
    std::map<FailureDomain, std::vector<Router>> routers;
    routers[settings_.domain].push_back({ settings_.address, settings_.self });
    for (const auto& [incarnation, peer] : peers_) {
        if (isEligible(peer)) {
            routers[peer.facts.domain].push_back({ peer.address, incarnation });
        }
    }
    // A VM that is gone for good may stay in the list. In the own domain each router is heard within some periods.
    const bool heardAllNear = firstTick_ && lastTick_ - *firstTick_ >= timeToHearDomain;
    for (const auto& [address, vm] : listed_) {
        const bool isGone = heardAllNear && vm.domain == settings_.domain;
        if (!vm.leaving && !isGone && !incarnationByAddress_.contains(address)) {
            routers[vm.domain].push_back({ address, {} });
        }
    }
    return routers;
}

std::map<FailureDomain, std::vector<PeerAddress>> Membership::remoteAddresses() const
{
    std::map<FailureDomain, std::vector<PeerAddress>> addresses;
    for (const auto& [domain, routers] : routersByDomain()) {
        if (domain == settings_.domain) {
            continue;
        }
        for (const Router& router : routers) {
            addresses[domain].push_back(router.address);
        }
    }
    return addresses;
}

std::optional<PeerAddress> Membership::addressOf(Incarnation incarnation) const
{
    if (const auto found = peers_.find(incarnation); found != peers_.end()) {
        return found->second.address;
    }
    return std::nullopt;
}

bool Membership::isAlive(Incarnation incarnation) const
{
    const auto found = peers_.find(incarnation);
    return found != peers_.end() && found->second.state == PeerState::Alive;
}

std::optional<Instant> Membership::lastHeard(Incarnation incarnation) const
{
    const auto found = peers_.find(incarnation);
    return found == peers_.end() ? std::nullopt : std::optional(found->second.lastHeartbeatAt);
}

Membership::DomainOverload Membership::domainOverload() const
{
    DomainOverload result;
    for (const auto& [incarnation, peer] : peers_) {
        if (peer.state != PeerState::Alive || distance(peer) > 0) {
            continue;
        }
        ++result.peers;
        result.overloaded += peer.facts.overloaded ? 1 : 0;
        result.overloadedBefore += peer.facts.overloaded && incarnation < settings_.self ? 1 : 0;
    }
    return result;
}

Membership::Counts Membership::counts() const
{
    Counts counts;
    counts.listed = listed_.size();
    for (const auto& [incarnation, peer] : peers_) {
        const bool alive = peer.state == PeerState::Alive;
        counts.alive += alive ? 1 : 0;
        counts.suspected += alive ? 0 : 1;
        counts.aliveInDomain += alive && distance(peer) == 0 ? 1 : 0;
    }
    return counts;
}

} // namespace swiftlift::membership
