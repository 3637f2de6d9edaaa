#include <algorithm>
#include <utility>

#include "swiftlift/membership/Membership.h"

namespace swiftlift::membership {

namespace {

    // Turns of the rotation in a row that a peer may miss before the peer is suspected.
    constexpr std::int64_t maxMissedTurns = 3;

} // namespace

// A heartbeat from another failure domain is answered at once, so that a router that watches this one gets one
// heartbeat for each that the watching router sends, not one per rotation. No answer follows within half a period of
// the last send: otherwise two peers would answer each other's answers endlessly.
void Membership::scheduleAnswer(const PeerAddress& address, Instant now)
{
    const auto sent = lastSent_.find(address);
    if (sent == lastSent_.end() || now - sent->second >= settings_.heartbeatPeriod / 2) {
        pendingAnswers_.insert(address);
    }
}

void Membership::planAnswers(Instant now, MembershipActions& actions)
{
    const std::set<PeerAddress> answers = std::exchange(pendingAnswers_, {});
    for (const PeerAddress& address : answers) {
        planSend(address, now, actions);
    }
}

void Membership::planHeartbeats(Instant now, MembershipActions& actions)
{
    if (now < nextHeartbeat_) {
        return;
    }
    nextHeartbeat_ = now + settings_.heartbeatPeriod;
    std::erase_if(lastSent_, [&](const auto& entry) { return now - entry.second > settings_.heartbeatPeriod; });
    for (const PeerAddress& address : everyPeriodAddresses()) {
        planSend(address, now, actions);
    }
    for (const PeerAddress& address : domainRotation_.next(settings_.domainPerPeriod)) {
        planSend(address, now, actions);
    }
    for (const PeerAddress& address : remoteRotation_.next(settings_.remotePerPeriod)) {
        planSend(address, now, actions);
    }
}

void Membership::planSend(const PeerAddress& address, Instant now, MembershipActions& actions)
{
    const auto& planned = actions.heartbeats;
    if (std::find(planned.begin(), planned.end(), address) != planned.end()) {
        return;
    }
    lastSent_[address] = now;
    actions.heartbeats.push_back(address);
}

// Witness and holder exchange heartbeats in every period, and so do a replica and the author of the copies, whatever
// the size of the fleet. How soon a dead holder's grant is sealed and its last bills are appended depends on these
// heartbeats alone.
std::set<PeerAddress> Membership::everyPeriodAddresses() const
{
    std::set<PeerAddress> addresses;
    for (const auto& [incarnation, peer] : peers_) {
        if (everyPeriodSince(incarnation)) {
            addresses.insert(peer.address);
        }
    }
    for (const auto& [address, candidate] : candidates_) {
        addresses.insert(address);
    }
    return addresses;
}

std::set<PeerAddress> Membership::knownAddresses() const
{
    std::set<PeerAddress> addresses { settings_.seeds.begin(), settings_.seeds.end() };
    for (const auto& [address, vm] : listed_) {
        addresses.insert(address);
    }
    for (const auto& [address, incarnation] : incarnationByAddress_) {
        addresses.insert(address);
    }
    addresses.erase(settings_.address);
    return addresses;
}

void Membership::refreshRotations()
{
    std::set<PeerAddress> domain;
    std::set<PeerAddress> remote;
    for (const PeerAddress& address : knownAddresses()) {
        (isInOwnDomain(address) ? domain : remote).insert(address);
    }
    domainRotation_.assign(domain, random_);
    remoteRotation_.assign(remote, random_);
}

Duration Membership::rotationPeriod(const Rotation& rotation, std::uint32_t perPeriod) const
{
    const std::size_t batch = std::max<std::size_t>(perPeriod, 1);
    const std::size_t periods = (rotation.size() + batch - 1) / batch;
    return static_cast<std::int64_t>(std::max<std::size_t>(periods, 1)) * settings_.heartbeatPeriod;
}

// A peer contacted by rotation sends one heartbeat per rotation, which takes longer the larger the domain and the fleet
// are. Under the limit for peers with heartbeats in every period, such peers would be suspected and recover repeatedly.
Duration Membership::silenceLimitFor(Incarnation incarnation, const Peer& peer) const
{
    if (everyPeriodSince(incarnation)) {
        return settings_.silenceLimit;
    }
    const bool inOwnDomain = distance(peer) == 0;
    const Duration period = inOwnDomain ? rotationPeriod(domainRotation_, settings_.domainPerPeriod)
                                        : rotationPeriod(remoteRotation_, settings_.remotePerPeriod);
    return std::max(settings_.silenceLimit, maxMissedTurns * period);
}

// Before the watch began, the peer's heartbeats came once per rotation, so that earlier silence may exceed the short
// limit. Silence therefore counts from the start of the watch at the earliest.
Duration Membership::silenceDuration(Incarnation incarnation, const Peer& peer, Instant now) const
{
    Instant since = std::max(peer.lastHeartbeatAt, silenceCountsFrom_);
    if (const auto watchStart = everyPeriodSince(incarnation)) {
        since = std::max(since, *watchStart);
    }
    return std::max(now - since, Duration {});
}

std::optional<Instant> Membership::everyPeriodSince(Incarnation incarnation) const
{
    // An empty optional compares less than any time.
    std::optional<Instant> since;
    if (const auto found = watched_.find(incarnation); found != watched_.end()) {
        since = found->second;
    }
    for (const SelectedPeer* selected : { &witness_, &remoteReplica_, &secondRemoteReplica_ }) {
        if (selected->peer == incarnation) {
            since = std::max(since, std::optional(selected->since));
        }
    }
    return since;
}

} // namespace swiftlift::membership
