#include "swiftlift/membership/Membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::membership {

namespace {

    // Replaced and retired incarnations remembered: nine days of 1,800 restarts a day.
    constexpr std::size_t overKept = 16'384;

    // Heartbeat periods after which a peer that was not heard is taken not to be there.
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
    if (own || from == Incarnation {} || over_.contains(from)) {
        return;
    }
    if (const auto found = peers_.find(from); found != peers_.end()) {
        if (found->second.address == address) {
            refresh(from, facts, now);
        }
        return;
    }
    if (current_.contains(address)) {
        contest(from, address, facts, now);
        return;
    }
    join(from, address, facts, now);
}

void Membership::join(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now)
{
    peers_[from] = Peer { address, facts, PeerState::Alive, now, {} };
    current_[address] = from;
    candidates_.erase(address);
    events_.emplace_back(Joined { from, address, facts.domain });
    refreshRotations();
    answer(address, now);
}

// A heartbeat of an old life may arrive after the first one of the new life, when this router never heard the old one.
// One would notice a live peer that is ignored until its next restart. So the newcomer has to speak again, a period
// later, with no word of the incumbent between: a dead process doesn't. A silent incumbent needs no such proof.
void Membership::contest(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now)
{
    const Incarnation incumbent = current_.at(address);
    const bool silent = peers_.at(incumbent).state == PeerState::Suspected;
    const auto found = candidates_.find(address);
    const bool again = found != candidates_.end() && found->second.incarnation == from
        && now - found->second.firstHeard >= settings_.heartbeatPeriod;
    if (silent || again) {
        replace(incumbent, now);
        join(from, address, facts, now);
        return;
    }
    if (found == candidates_.end() || found->second.incarnation != from) {
        candidates_[address] = Candidate { from, now };
    }
    answer(address, now);
}

void Membership::replace(Incarnation incumbent, Instant now)
{
    const Peer peer = peers_.at(incumbent);
    if (peer.state == PeerState::Alive) {
        events_.emplace_back(
            Suspected { incumbent, peer.address, SuspicionCause::Replaced, silenceOf(incumbent, peer, now) });
    }
    remember(incumbent);
    drop(incumbent);
}

void Membership::refresh(Incarnation from, const HeartbeatFacts& facts, Instant now)
{
    Peer& peer = peers_.at(from);
    const bool moved = peer.facts.domain != facts.domain || peer.facts.region != facts.region;
    peer.facts = facts;
    peer.lastHeard = now;
    candidates_.erase(peer.address);
    if (moved) {
        refreshRotations();
    }
    if (peer.state == PeerState::Suspected) {
        peer.state = PeerState::Alive;
        events_.emplace_back(Recovered { from, peer.address });
    }
    if (!inDomain(peer.address)) {
        answer(peer.address, now);
    }
}

void Membership::onVmList(const std::vector<ListedVm>& vms, Instant /*now*/)
{
    listed_.clear();
    selfLeaving_ = false;
    for (const ListedVm& vm : vms) {
        if (vm.address == settings_.address) {
            selfLeaving_ = vm.leaving;
            continue;
        }
        listed_[vm.address] = Listed { vm.domain, vm.region, vm.leaving };
    }
    refreshRotations();
}

void Membership::retire(Incarnation incarnation)
{
    remember(incarnation);
    drop(incarnation);
}

void Membership::remember(Incarnation over)
{
    if (!over_.insert(over).second) {
        return;
    }
    overOrder_.push_back(over);
    if (overOrder_.size() > overKept) {
        over_.erase(overOrder_.front());
        overOrder_.pop_front();
    }
}

void Membership::drop(Incarnation incarnation)
{
    const auto found = peers_.find(incarnation);
    if (found == peers_.end()) {
        return;
    }
    const PeerAddress address = found->second.address;
    events_.emplace_back(Left { incarnation, address });
    current_.erase(address);
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
    noticePause(now);
    suspectSilent(now);
    forgetOld(now);
    settle(now);
    chooseWitness(now);
    chooseRemoteReplicas(now);
    MembershipActions actions;
    planHeartbeats(now, actions);
    planAnswers(now, actions);
    actions.events = std::exchange(events_, {});
    return actions;
}

// A VM that was paused wakes with heartbeats of its peers unread, or dropped. By the times it would suspect everybody
// and seal all that it witnesses, though the silence was its own. So a gap in its own ticks starts all timers anew.
void Membership::noticePause(Instant now)
{
    if (!firstTick_) {
        firstTick_ = now;
        timersFrom_ = now;
    } else if (const Duration gap = now - lastTick_; gap > settings_.pauseThreshold) {
        timersFrom_ = now;
        events_.emplace_back(SelfPaused { gap });
    }
    lastTick_ = now;
}

void Membership::suspectSilent(Instant now)
{
    for (auto& [incarnation, peer] : peers_) {
        if (peer.state != PeerState::Alive) {
            continue;
        }
        const Duration silence = silenceOf(incarnation, peer, now);
        if (silence <= limitFor(incarnation, peer)) {
            continue;
        }
        peer.state = PeerState::Suspected;
        peer.suspectedAt = now;
        events_.emplace_back(Suspected { incarnation, peer.address, SuspicionCause::Silent, silence });
    }
}

void Membership::forgetOld(Instant now)
{
    std::vector<Incarnation> old;
    for (const auto& [incarnation, peer] : peers_) {
        const bool silent = peer.state == PeerState::Suspected && now - peer.suspectedAt > settings_.forgetAfter;
        // Without any list there is no sign that the VM is gone: it may be a long partition.
        if (silent && !listed_.empty() && !listed_.contains(peer.address)) {
            old.push_back(incarnation);
        }
    }
    for (const Incarnation incarnation : old) {
        drop(incarnation);
    }
}

void Membership::settle(Instant now)
{
    if (settled_) {
        return;
    }
    settled_ = now - *firstTick_ >= periodsToSettle * settings_.heartbeatPeriod;
    for (const auto& [incarnation, peer] : peers_) {
        settled_ = settled_ || (distance(peer) == 0 && fitForDuty(peer));
    }
}

// Each change of witness costs a record of the ledger for every grant, so a fit witness stays, even when a peer that
// ranks higher comes back. Only one from another domain gives way to one of the own.
void Membership::chooseWitness(Instant now)
{
    std::optional<Incarnation> best;
    for (const Incarnation incarnation : nearestFirst()) {
        if (mayWitness(incarnation)) {
            best = incarnation;
            break;
        }
    }
    const auto& present = witness_.peer;
    if (best && present && mayWitness(*present) && distance(peers_.at(*present)) <= distance(peers_.at(*best))) {
        return;
    }
    witness_.choose(best, now);
}

void Membership::Chosen::choose(std::optional<Incarnation> other, Instant now)
{
    if (peer != other) {
        peer = other;
        since = now;
    }
}

// A keeper that dies is silent for some seconds before it is suspected, and it may die with this failure domain. Bills
// of those seconds would be lost but for a second one.
void Membership::chooseRemoteReplicas(Instant now)
{
    if (!settings_.remoteReplica) {
        return;
    }
    const auto fit = [this](const Chosen& chosen) { return chosen.peer && mayKeepFromAfar(*chosen.peer); };
    if (!fit(remoteReplica_)) {
        const std::vector<Incarnation> peers = nearestFirst();
        const auto best = std::ranges::find_if(peers, [this](Incarnation peer) { return mayKeepFromAfar(peer); });
        const auto nearest = best == peers.end() ? std::nullopt : std::optional(*best);
        remoteReplica_.choose(fit(secondRemoteReplica_) ? secondRemoteReplica_.peer : nearest, now);
    }
    const std::optional<Incarnation> best = bestSecondRemoteReplica();
    const bool stays = fit(secondRemoteReplica_) && secondRemoteReplica_.peer != remoteReplica_.peer
        && secondRemoteReplicaCost(*secondRemoteReplica_.peer) <= secondRemoteReplicaCost(*best);
    if (!stays) {
        secondRemoteReplica_.choose(best, now);
    }
}

std::optional<Incarnation> Membership::bestSecondRemoteReplica() const
{
    std::optional<Incarnation> best;
    for (const Incarnation peer : nearestFirst()) {
        const bool fit = peer != remoteReplica_.peer && mayKeepFromAfar(peer);
        if (fit && (!best || secondRemoteReplicaCost(peer) < secondRemoteReplicaCost(*best))) {
            best = peer;
        }
    }
    return best;
}

// Another region would cost each answer a way there and back, so a peer in the first keeper's domain is preferred to
// it.
std::pair<int, bool> Membership::secondRemoteReplicaCost(Incarnation peer) const
{
    const Peer& candidate = peers_.at(peer);
    const auto first = remoteReplica_.peer ? peers_.find(*remoteReplica_.peer) : peers_.end();
    return { distance(candidate), first != peers_.end() && candidate.facts.domain == first->second.facts.domain };
}

} // namespace swiftlift::membership
