#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/membership/MembershipEvent.h"
#include "swiftlift/membership/MembershipSettings.h"
#include "swiftlift/membership/Rotation.h"

namespace swiftlift::membership {

/**
 * @brief One router's view of the other routers: who lives, who is silent, whom to ask for what.
 *
 * No group agrees on anything here. Each router judges by the heartbeats it hears; the platform's list only says where
 * to look. What must be agreed on stands in the ledger.
 */
class Membership {
public:
    explicit Membership(MembershipSettings settings);

    /**
     * @brief Takes in a heartbeat.
     * @param from Sender's incarnation.
     * @param address Where the sender says it is reached.
     */
    void onHeartbeat(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);

    /** @brief Takes in the platform's list, whole. */
    void onVmList(const std::vector<ListedVm>& vms, Instant now);

    /** @brief The ledger has retired this incarnation: it never counts as alive again. */
    void retire(Incarnation incarnation);

    /**
     * @brief Names the peers to exchange heartbeats with in every period, wherever they are: those whose grants this
     * router witnesses, or whose copies it keeps. Its own witness and keeper are watched without being named.
     */
    void setWatched(const std::vector<Incarnation>& watched, Instant now);

    /** @return What is to be sent and what changed. To be called at least every 50 ms. */
    [[nodiscard]] MembershipActions tick(Instant now);

    /** @return Whom a grant drawn now should name as witness. Stays the same as long as that peer is fit. */
    [[nodiscard]] std::optional<Incarnation> witness() const noexcept { return witness_.peer; }

    /**
     * @return Whom to give copies that must outlive this router's whole failure domain: a peer beyond it. Stays the
     * same as long as that peer is fit.
     */
    [[nodiscard]] std::optional<Incarnation> remoteReplica() const noexcept { return remoteReplica_.peer; }

    /**
     * @return Whom to give them as well: another peer beyond the failure domain, in a domain other than the first
     * keeper's where there is one.
     */
    [[nodiscard]] std::optional<Incarnation> secondRemoteReplica() const noexcept { return secondRemoteReplica_.peer; }

    /** @return True when VMs beyond the failure domain are known, whether or not one is heard now. */
    [[nodiscard]] bool knowsRemoteVms() const;

    /** @return True when peers have had the time to be heard: before, a missing witness may just be unknown. */
    [[nodiscard]] bool settled() const noexcept { return settled_; }

    /** @return Peers that are alive: own failure domain first, then own region, then the others. */
    [[nodiscard]] std::vector<Incarnation> alivePeers() const;

    /** @return Peers to ask for a loan, nearest first. */
    [[nodiscard]] std::vector<Incarnation> lenders() const;

    /** @return The nearest live peer that said a moment ago that it reaches the platform's log. */
    [[nodiscard]] std::optional<Incarnation> logReachablePeer() const;

    /** @return Where the incarnation was last heard from; nothing when it is unknown or over. */
    [[nodiscard]] std::optional<PeerAddress> addressOf(Incarnation incarnation) const;

    [[nodiscard]] bool isAlive(Incarnation incarnation) const;

    /** @return When the incarnation was last heard; nothing when it is unknown or over. */
    [[nodiscard]] std::optional<Instant> lastHeard(Incarnation incarnation) const;

    /** @return True when the platform lists this VM as leaving. */
    [[nodiscard]] bool selfLeaving() const noexcept { return selfLeaving_; }

    /** @return Peers known, by state; for operators and metrics. */
    struct Counts {
        std::size_t alive = 0;
        std::size_t aliveInDomain = 0;
        std::size_t suspected = 0;
        std::size_t listed = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    enum class PeerState : std::uint8_t { Alive, Suspected };

    struct Peer {
        PeerAddress address;
        HeartbeatFacts facts;
        PeerState state = PeerState::Alive;
        Instant lastHeard {};
        Instant suspectedAt {};
    };

    /** An unknown incarnation at the address of a known one. */
    struct Candidate {
        Incarnation incarnation;
        Instant firstHeard {};
    };

    struct Listed {
        FailureDomain domain;
        Region region;
        bool leaving = false;
    };

    /** A peer with a duty for this router, heard in every period. */
    struct Chosen {
        std::optional<Incarnation> peer;
        Instant since {};

        /** Takes another peer, or nobody, from now on; the same one keeps its moment. */
        void choose(std::optional<Incarnation> other, Instant now);
    };

    using Peers = std::map<Incarnation, Peer>;

    void join(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);
    void contest(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);
    void replace(Incarnation incumbent, Instant now);
    void refresh(Incarnation from, const HeartbeatFacts& facts, Instant now);
    void remember(Incarnation over);
    void drop(Incarnation incarnation);
    void noticePause(Instant now);
    void suspectSilent(Instant now);
    void forgetOld(Instant now);
    void settle(Instant now);
    void chooseWitness(Instant now);
    void chooseRemoteReplicas(Instant now);
    /** @return The nearest fit peer beyond the failure domain but the keeper, of another domain than its where
     * possible.
     */
    [[nodiscard]] std::optional<Incarnation> bestSecondRemoteReplica() const;
    /** @return The less, the better a second keeper the peer is: its distance, and whether it shares the first one's
     * domain. */
    [[nodiscard]] std::pair<int, bool> secondRemoteReplicaCost(Incarnation peer) const;
    void answer(const PeerAddress& address, Instant now);
    void planAnswers(Instant now, MembershipActions& actions);
    void planHeartbeats(Instant now, MembershipActions& actions);
    void planSend(const PeerAddress& address, Instant now, MembershipActions& actions);
    void refreshRotations();
    [[nodiscard]] std::set<PeerAddress> everyPeriod() const;
    [[nodiscard]] std::set<PeerAddress> known() const;
    [[nodiscard]] Duration turn(const Rotation& rotation, std::uint32_t perPeriod) const;
    [[nodiscard]] Duration limitFor(Incarnation incarnation, const Peer& peer) const;
    [[nodiscard]] Duration silenceOf(Incarnation incarnation, const Peer& peer, Instant now) const;
    [[nodiscard]] bool inDomain(const PeerAddress& address) const;
    [[nodiscard]] bool fitForDuty(const Peer& peer) const;
    [[nodiscard]] bool mayWitness(Incarnation incarnation) const;
    [[nodiscard]] bool mayKeepFromAfar(Incarnation incarnation) const;
    /** @return Since when the peer is heard in every period; nothing when its turn comes by rotation. */
    [[nodiscard]] std::optional<Instant> closeSince(Incarnation incarnation) const;
    [[nodiscard]] int distance(const Peer& peer) const;
    [[nodiscard]] std::uint64_t rank(Incarnation incarnation) const;
    [[nodiscard]] std::vector<Incarnation> nearestFirst() const;

    MembershipSettings settings_;
    std::mt19937_64 random_;
    Peers peers_;
    std::map<PeerAddress, Incarnation> current_;
    std::map<PeerAddress, Candidate> candidates_;
    std::map<PeerAddress, Listed> listed_;
    /** Bounded: the ledger remembers for good. */
    std::unordered_set<Incarnation> over_;
    std::deque<Incarnation> overOrder_;
    /** Since when each is watched. */
    std::map<Incarnation, Instant> watched_;
    std::set<PeerAddress> answers_;
    std::unordered_map<PeerAddress, Instant> lastSent_;
    Rotation domainRotation_;
    Rotation distantRotation_;
    std::vector<MembershipEvent> events_;
    Chosen witness_;
    Chosen remoteReplica_;
    Chosen secondRemoteReplica_;
    std::optional<Instant> firstTick_;
    Instant lastTick_ {};
    /** No silence counts from before this moment. */
    Instant timersFrom_ {};
    Instant nextHeartbeat_ {};
    bool settled_ = false;
    bool selfLeaving_ = false;
};

} // namespace swiftlift::membership
