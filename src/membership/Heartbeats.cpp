#include <algorithm>
#include <utility>

#include "swiftlift/membership/Membership.h"

namespace swiftlift::membership {

namespace {

    // Of its turns in the rotation, how many a peer beyond the domain may miss before it is suspected.
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
    for (const PeerAddress& address : rotation_.next(settings_.distantPerPeriod)) {
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

std::set<PeerAddress> Membership::everyPeriod() const
{
    std::set<PeerAddress> addresses;
    for (const auto& [address, vm] : listed_) {
        if (inDomain(address)) {
            addresses.insert(address);
        }
    }
    for (const auto& [incarnation, peer] : peers_) {
        if (inDomain(peer.address) || watched_.contains(incarnation) || witness_ == incarnation) {
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
    std::set<PeerAddress> addresses;
    const auto add = [&](const PeerAddress& address) {
        if (address != settings_.address && !inDomain(address)) {
            addresses.insert(address);
        }
    };
    for (const PeerAddress& seed : settings_.seeds) {
        add(seed);
    }
    for (const auto& [address, vm] : listed_) {
        add(address);
    }
    for (const auto& [address, incarnation] : current_) {
        add(address);
    }
    return addresses;
}

// Peers beyond the domain speak once in a rotation, which grows with the fleet. Judged by the limit of the domain all
// of them would be suspected and recover, over and over.
Duration Membership::limitFor(Incarnation incarnation, const Peer& peer) const
{
    if (distance(peer) == 0 || watched_.contains(incarnation) || witness_ == incarnation) {
        return settings_.silenceLimit;
    }
    const std::int64_t perPeriod = std::max<std::int64_t>(settings_.distantPerPeriod, 1);
    const auto periods = static_cast<std::int64_t>(rotation_.size()) / perPeriod + 1;
    return std::max(settings_.silenceLimit, missedTurns * periods * settings_.heartbeatPeriod);
}

// A peer that has just come under watch was heard when its turn was, not as often as the short limit asks.
Duration Membership::silenceOf(Incarnation incarnation, const Peer& peer, Instant now) const
{
    Instant since = std::max(peer.lastHeard, timersFrom_);
    if (const auto found = watched_.find(incarnation); found != watched_.end()) {
        since = std::max(since, found->second);
    }
    if (witness_ == incarnation) {
        since = std::max(since, witnessSince_);
    }
    return std::max(now - since, Duration {});
}

} // namespace swiftlift::membership
