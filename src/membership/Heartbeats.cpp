#include <algorithm>
#include <utility>

#include "swiftlift/membership/Membership.h"

namespace swiftlift::membership {

namespace {

    // Of its turns, how many a peer may miss before it is suspected.
    constexpr std::int64_t missedTurns = 3;

} // namespace

// Beyond the domain, a peer that gets a heartbeat out of turn answers it, so that whoever watches it hears it as often
// as it asks. Half a period without a send keeps two peers from answering each other's answers for ever.
void Membership::answer(const PeerAddress& address, Instant now)
{
    const auto sent = lastSent_.find(address);
    if (sent == lastSent_.end() || now - sent->second >= settings_.heartbeatPeriod / 2) {
        answers_.insert(address);
    }
}

void Membership::planAnswers(Instant now, MembershipActions& actions)
{
    const std::set<PeerAddress> answers = std::exchange(answers_, {});
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
    for (const PeerAddress& address : everyPeriod()) {
        planSend(address, now, actions);
    }
    for (const PeerAddress& address : domainRotation_.next(settings_.domainPerPeriod)) {
        planSend(address, now, actions);
    }
    for (const PeerAddress& address : distantRotation_.next(settings_.remotePerPeriod)) {
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

// Witness and holder watch each other, and so do the keeper of copies and their author: these few are heard in every
// period whatever the size of the fleet. How soon a dead holder's grant is sealed and its last bills are appended
// depends on them alone.
std::set<PeerAddress> Membership::everyPeriod() const
{
    std::set<PeerAddress> addresses;
    for (const auto& [incarnation, peer] : peers_) {
        if (closeSince(incarnation)) {
            addresses.insert(peer.address);
        }
    }
    for (const auto& [address, candidate] : candidates_) {
        addresses.insert(address);
    }
    return addresses;
}

std::set<PeerAddress> Membership::known() const
{
    std::set<PeerAddress> addresses { settings_.seeds.begin(), settings_.seeds.end() };
    for (const auto& [address, vm] : listed_) {
        addresses.insert(address);
    }
    for (const auto& [address, incarnation] : current_) {
        addresses.insert(address);
    }
    addresses.erase(settings_.address);
    return addresses;
}

void Membership::refreshRotations()
{
    std::set<PeerAddress> domain;
    std::set<PeerAddress> distant;
    for (const PeerAddress& address : known()) {
        (inDomain(address) ? domain : distant).insert(address);
    }
    domainRotation_.assign(domain, random_);
    distantRotation_.assign(distant, random_);
}

Duration Membership::turn(const Rotation& rotation, std::uint32_t perPeriod) const
{
    const std::size_t most = std::max<std::size_t>(perPeriod, 1);
    const std::size_t periods = (rotation.size() + most - 1) / most;
    return static_cast<std::int64_t>(std::max<std::size_t>(periods, 1)) * settings_.heartbeatPeriod;
}

// Peers speak once in a turn, which grows with the domain and the fleet. Judged by the limit of those that speak in
// every period, all of them would be suspected and recover, over and over.
Duration Membership::limitFor(Incarnation incarnation, const Peer& peer) const
{
    if (closeSince(incarnation)) {
        return settings_.silenceLimit;
    }
    const bool near = distance(peer) == 0;
    const Duration wait
        = near ? turn(domainRotation_, settings_.domainPerPeriod) : turn(distantRotation_, settings_.remotePerPeriod);
    return std::max(settings_.silenceLimit, missedTurns * wait);
}

// A peer that has just come under watch was heard when its turn was, not as often as the short limit asks.
Duration Membership::silenceOf(Incarnation incarnation, const Peer& peer, Instant now) const
{
    Instant since = std::max(peer.lastHeard, timersFrom_);
    if (const auto close = closeSince(incarnation)) {
        since = std::max(since, *close);
    }
    return std::max(now - since, Duration {});
}

std::optional<Instant> Membership::closeSince(Incarnation incarnation) const
{
    // Nothing is less than any moment.
    std::optional<Instant> since;
    if (const auto found = watched_.find(incarnation); found != watched_.end()) {
        since = found->second;
    }
    for (const Chosen* chosen : { &witness_, &remoteReplica_, &secondRemoteReplica_ }) {
        if (chosen->peer == incarnation) {
            since = std::max(since, std::optional(chosen->since));
        }
    }
    return since;
}

} // namespace swiftlift::membership
