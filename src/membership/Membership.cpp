#include "swiftlift/membership/Membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::membership {

namespace {

    // Number of replaced and retired incarnations remembered: nine days at 1,800 restarts a day.
    constexpr std::size_t maxEndedRemembered = 16'384;

    // Heartbeat periods after the first tick in which every live peer should have sent a heartbeat.
    constexpr int periodsToSettle = 3;

} // namespace

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
{
    assert(settings_.self != Incarnation {} && "an incarnation is never 0");
    refreshRotations();
}

void Membership::onHeartbeat(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now)
{
    const bool own = from == settings_.self || address == settings_.address;
    if (own || from == Incarnation {} || ended_.contains(from)) {
        return;
    }
    if (const auto found = peers_.find(from); found != peers_.end()) {
        if (found->second.address == address) {
            updatePeer(from, facts, now);
        }
        return;
    }
    if (incarnationByAddress_.contains(address)) {
        resolveAddressConflict(from, address, facts, now);
        return;
    }
    addPeer(from, address, facts, now);
}

void Membership::addPeer(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now)
{
    peers_[from] = Peer { address, facts, PeerState::Alive, now, {} };
    incarnationByAddress_[address] = from;
    candidates_.erase(address);
    events_.emplace_back(Joined { from, address, facts.domain });
    refreshRotations();
    scheduleAnswer(address, now);
}

// A late heartbeat of a peer's previous incarnation may arrive after the first heartbeat of its present one. If the
// late one replaced the present incarnation, the live peer would be ignored until its next restart. So an unknown
// incarnation replaces the incumbent only after a second heartbeat at least one period later, with none from the
// incumbent in between: a dead process sends no second heartbeat. A suspected incumbent is replaced immediately.
void Membership::resolveAddressConflict(
    Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now)
{
    const Incarnation incumbent = incarnationByAddress_.at(address);
    const bool silent = peers_.at(incumbent).state == PeerState::Suspected;
    const auto found = candidates_.find(address);
    const bool confirmed = found != candidates_.end() && found->second.incarnation == from
        && now - found->second.firstHeartbeatAt >= settings_.heartbeatPeriod;
    if (silent || confirmed) {
        replaceIncumbent(incumbent, now);
        addPeer(from, address, facts, now);
        return;
    }
    if (found == candidates_.end() || found->second.incarnation != from) {
        candidates_[address] = Candidate { from, now };
    }
    scheduleAnswer(address, now);
}

void Membership::replaceIncumbent(Incarnation incumbent, Instant now)
{
    const Peer peer = peers_.at(incumbent);
    if (peer.state == PeerState::Alive) {
        events_.emplace_back(
            Suspected { incumbent, peer.address, SuspicionCause::Replaced, silenceDuration(incumbent, peer, now) });
    }
    rememberEnded(incumbent);
    removePeer(incumbent);
}

void Membership::updatePeer(Incarnation from, const HeartbeatFacts& facts, Instant now)
{
    Peer& peer = peers_.at(from);
    const bool moved = peer.facts.domain != facts.domain || peer.facts.region != facts.region;
    peer.facts = facts;
    peer.lastHeartbeatAt = now;
    candidates_.erase(peer.address);
    if (moved) {
        refreshRotations();
    }
    if (peer.state == PeerState::Suspected) {
        peer.state = PeerState::Alive;
        events_.emplace_back(Recovered { from, peer.address });
    }
    if (!isInOwnDomain(peer.address)) {
        scheduleAnswer(peer.address, now);
    }
}

void Membership::onVmList(const std::vector<ListedVm>& vms, Instant now)
{
    const std::size_t before = listed_.size();
    listed_.clear();
    selfLeaving_ = false;
    selfListed_ = false;
    for (const ListedVm& vm : vms) {
        if (vm.address == settings_.address) {
            selfLeaving_ = vm.leaving;
            selfListed_ = true;
            continue;
        }
        listed_[vm.address] = Listed { vm.domain, vm.region, vm.leaving };
    }
    // A list that has this VM from the start is that of a fleet which has run before.
    if (!listGrewAt_ && selfListed_) {
        listGrewAt_ = Instant {};
    } else if (!listGrewAt_ || listed_.size() != before) {
        listGrewAt_ = now;
    }
    refreshRotations();
}

void Membership::retire(Incarnation incarnation)
{
    rememberEnded(incarnation);
    removePeer(incarnation);
}

void Membership::rememberEnded(Incarnation ended)
{
    if (!ended_.insert(ended).second) {
        return;
    }
    endedOrder_.push_back(ended);
    if (endedOrder_.size() > maxEndedRemembered) {
        ended_.erase(endedOrder_.front());
        endedOrder_.pop_front();
    }
}

void Membership::removePeer(Incarnation incarnation)
{
    const auto found = peers_.find(incarnation);
    if (found == peers_.end()) {
        return;
    }
    const PeerAddress address = found->second.address;
    events_.emplace_back(Left { incarnation, address });
    incarnationByAddress_.erase(address);
    candidates_.erase(address);
    peers_.erase(found);
    refreshRotations();
}

void Membership::setWatched(const std::vector<Incarnation>& watched, Instant now)
{
    std::map<Incarnation, Instant> next;
    for (const Incarnation incarnation : watched) {
        const auto found = watched_.find(incarnation);
        next[incarnation] = found == watched_.end() ? now : found->second;
    }
    watched_ = std::move(next);
}

MembershipActions Membership::tick(Instant now)
{
    detectOwnPause(now);
    suspectSilentPeers(now);
    forgetUnlistedPeers(now);
    updateSettled(now);
    chooseWitness(now);
    chooseRemoteReplicas(now);
    MembershipActions actions;
    planHeartbeats(now, actions);
    planAnswers(now, actions);
    actions.events = std::exchange(events_, {});
    return actions;
}

// After a pause of this VM, its peers' heartbeats are unread or dropped. Going by their last heartbeats, this router
// would suspect every peer and seal every witnessed grant, though only its own process was paused. So a gap between
// ticks restarts all silence timers.
void Membership::detectOwnPause(Instant now)
{
    if (!firstTick_) {
        firstTick_ = now;
        silenceCountsFrom_ = now;
    } else if (const Duration gap = now - lastTick_; gap > settings_.pauseThreshold) {
        silenceCountsFrom_ = now;
        events_.emplace_back(SelfPaused { gap });
    }
    lastTick_ = now;
}

// A router that handles its events seconds late would take its peers for silent and have their grants sealed, although
// their heartbeats wait in its own queue.
void Membership::onOwnDelay(Duration delay, Instant now)
{
    if (delay > settings_.lagThreshold) {
        silenceCountsFrom_ = now;
    }
}

void Membership::suspectSilentPeers(Instant now)
{
    for (auto& [incarnation, peer] : peers_) {
        if (peer.state != PeerState::Alive) {
            continue;
        }
        const Duration silence = silenceDuration(incarnation, peer, now);
        if (silence <= silenceLimitFor(incarnation, peer)) {
            continue;
        }
        peer.state = PeerState::Suspected;
        peer.suspectedAt = now;
        events_.emplace_back(Suspected { incarnation, peer.address, SuspicionCause::Silent, silence });
    }
}

void Membership::forgetUnlistedPeers(Instant now)
{
    std::vector<Incarnation> unlisted;
    for (const auto& [incarnation, peer] : peers_) {
        const bool silent = peer.state == PeerState::Suspected && now - peer.suspectedAt > settings_.forgetAfter;
        // Without a list of VMs nothing shows that the VM is gone; the cause may be a long network partition.
        if (silent && !listed_.empty() && !listed_.contains(peer.address)) {
            unlisted.push_back(incarnation);
        }
    }
    for (const Incarnation incarnation : unlisted) {
        removePeer(incarnation);
    }
}

void Membership::updateSettled(Instant now)
{
    if (settled_) {
        return;
    }
    settled_ = now - *firstTick_ >= periodsToSettle * settings_.heartbeatPeriod;
    for (const auto& [incarnation, peer] : peers_) {
        settled_ = settled_ || (distance(peer) == 0 && isEligible(peer));
    }
}

// Each change of witness costs one ledger record per grant, so an eligible witness stays even when a peer of higher
// rank returns. Only a witness at a greater distance is replaced by a nearer peer.
void Membership::chooseWitness(Instant now)
{
    std::optional<Incarnation> best;
    for (const Incarnation incarnation : nearestFirst()) {
        if (mayWitness(incarnation)) {
            best = incarnation;
            break;
        }
    }
    const auto& current = witness_.peer;
    if (best && current && mayWitness(*current) && distance(peers_.at(*current)) <= distance(peers_.at(*best))) {
        return;
    }
    witness_.setPeer(best, now);
}

void Membership::SelectedPeer::setPeer(std::optional<Incarnation> newPeer, Instant now)
{
    if (peer != newPeer) {
        peer = newPeer;
        since = now;
    }
}

// A failed remote replica is suspected only after some seconds, and may fail together with this failure domain. Without
// a second remote replica, the bills of those seconds would be lost.
void Membership::chooseRemoteReplicas(Instant now)
{
    if (!settings_.remoteReplica) {
        return;
    }
    const auto eligible
        = [this](const SelectedPeer& selected) { return selected.peer && mayBeRemoteReplica(*selected.peer); };
    if (!eligible(remoteReplica_)) {
        const std::vector<Incarnation> peers = nearestFirst();
        const auto best = std::ranges::find_if(peers, [this](Incarnation peer) { return mayBeRemoteReplica(peer); });
        const auto nearest = best == peers.end() ? std::nullopt : std::optional(*best);
        remoteReplica_.setPeer(eligible(secondRemoteReplica_) ? secondRemoteReplica_.peer : nearest, now);
    }
    const std::optional<Incarnation> best = bestSecondRemoteReplica();
    const bool stays = eligible(secondRemoteReplica_) && secondRemoteReplica_.peer != remoteReplica_.peer
        && secondRemoteReplicaCost(*secondRemoteReplica_.peer) <= secondRemoteReplicaCost(*best);
    if (!stays) {
        secondRemoteReplica_.setPeer(best, now);
    }
}

std::optional<Incarnation> Membership::bestSecondRemoteReplica() const
{
    std::optional<Incarnation> best;
    for (const Incarnation peer : nearestFirst()) {
        const bool eligible = peer != remoteReplica_.peer && mayBeRemoteReplica(peer);
        if (eligible && (!best || secondRemoteReplicaCost(peer) < secondRemoteReplicaCost(*best))) {
            best = peer;
        }
    }
    return best;
}

// A second remote replica in another region would add an inter-region round trip to each answer, so a peer in the first
// remote replica's failure domain is preferred to a peer in another region.
std::pair<int, bool> Membership::secondRemoteReplicaCost(Incarnation peer) const
{
    const Peer& candidate = peers_.at(peer);
    const auto first = remoteReplica_.peer ? peers_.find(*remoteReplica_.peer) : peers_.end();
    return { distance(candidate), first != peers_.end() && candidate.facts.domain == first->second.facts.domain };
}

} // namespace swiftlift::membership
