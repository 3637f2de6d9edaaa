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
 * @brief One router's view of the other routers: which are alive, which are silent, and which serve as this router's
 * witness, remote replicas and lenders.
 *
 * The view is local: routers do not reach consensus on membership. Each router decides by the heartbeats that it
 * receives; the platform's list of VMs only supplies addresses. Decisions that need consensus are made in the ledger.
 */
class Membership {
public:
    /** @param settings This router's identity, seed addresses, periods and limits. */
    explicit Membership(MembershipSettings settings);

    /**
     * @brief Processes a received heartbeat.
     * @param from Sender's incarnation.
     * @param address Address that the sender gives as its own.
     * @param facts What the sender reports about itself.
     * @param now Time of receipt.
     */
    void onHeartbeat(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);

    /**
     * @brief Replaces the known list of VMs.
     * @param vms The platform's complete list of VMs.
     * @param now Time of receipt.
     */
    void onVmList(const std::vector<ListedVm>& vms, Instant now);

    /**
     * @brief Removes an incarnation that the ledger has retired; later heartbeats from the incarnation are ignored.
     * @param incarnation The retired incarnation.
     */
    void retire(Incarnation incarnation);

    /**
     * @brief Sets the peers to exchange heartbeats with in every period, whatever their failure domain: those whose
     * grants this router witnesses or for which this router is a replica. This router's own witness, remote replica and
     * second remote replica are always watched and need not be listed.
     * @param watched All peers to watch; peers of an earlier call that are missing here are no longer watched.
     * @param now Start of the watch for peers that were not watched before.
     */
    void setWatched(const std::vector<Incarnation>& watched, Instant now);

    /**
     * @brief Records how late this router handles its events. Silence of peers counts only from the end of its own lag:
     * until then, heartbeats may have arrived that it has not handled.
     * @param delay Longest wait of an event since the last call.
     * @param now Present time.
     */
    void onOwnDelay(Duration delay, Instant now);

    /**
     * @brief Updates suspicions and the choice of witness and remote replicas, and plans heartbeats. Call at least
     * every 50 ms.
     * @param now Present time.
     * @return Heartbeats to send now, and membership events since the last tick.
     */
    [[nodiscard]] MembershipActions tick(Instant now);

    /**
     * @return The peer that new grants name as witness; empty when no peer is eligible. Unchanged while that peer is
     * eligible, unless a nearer peer becomes eligible.
     */
    [[nodiscard]] std::optional<Incarnation> witness() const noexcept { return witness_.peer; }

    /**
     * @return The remote replica: a peer of another failure domain that stores copies which must survive the loss of
     * this router's whole failure domain. Unchanged as long as that peer is eligible.
     */
    [[nodiscard]] std::optional<Incarnation> remoteReplica() const noexcept { return remoteReplica_.peer; }

    /**
     * @return The second remote replica: another peer outside this router's failure domain. Among peers of one region,
     * those outside the first remote replica's failure domain are preferred.
     */
    [[nodiscard]] std::optional<Incarnation> secondRemoteReplica() const noexcept { return secondRemoteReplica_.peer; }

    /** @return True when VMs of other failure domains are listed or known as peers, whether or not any is alive. */
    [[nodiscard]] bool knowsRemoteVms() const;

    /**
     * @return True once a peer of the own failure domain can be the witness, or three heartbeat periods have passed
     * since the first tick. Before that, a missing witness may only mean that no heartbeat has arrived yet.
     */
    [[nodiscard]] bool settled() const noexcept { return settled_; }

    /** @return Live peers: own failure domain first, then own region, then other regions. */
    [[nodiscard]] std::vector<Incarnation> alivePeers() const;

    /** @return Live peers to request a loan from, nearest first; without VMs that are stopping or leaving. */
    [[nodiscard]] std::vector<Incarnation> lenders() const;

    /**
     * @return The nearest live peer that reported the platform's log as reachable within the last
     * `MembershipSettings::logReportLifetime`.
     */
    [[nodiscard]] std::optional<Incarnation> logReachablePeer() const;

    /** @brief A router of this router's failure domain. */
    struct Neighbor {
        Incarnation incarnation;
        /** Bandwidth of its link, in Mbit/s; 0: not known. */
        double bandwidth = 0;
    };
    /** @return Live peers of the own failure domain; without VMs that are stopping or leaving. */
    [[nodiscard]] std::vector<Neighbor> neighbors() const;

    /** @brief A router of the fleet, alive or not heard of yet. */
    struct Router {
        PeerAddress address;
        /** The null incarnation while it is not known. */
        Incarnation incarnation;
    };
    /**
     * @return The routers that are alive or listed, by failure domain, this router included; without VMs that are
     * silent, stopping or leaving, and without listed VMs of the own domain that have not been heard since the start.
     */
    [[nodiscard]] std::map<FailureDomain, std::vector<Router>> routersByDomain() const;

    /** @return True if the list of VMs has this router's VM: one that hasn't may lack many others. */
    [[nodiscard]] bool selfListed() const noexcept { return selfListed_; }
    /** @return When the list of VMs last showed another number of VMs, the clock's origin for a first list that has
     * this VM; empty while no list has been read. */
    [[nodiscard]] std::optional<Instant> listGrewAt() const noexcept { return listGrewAt_; }

    /** @return Addresses of the routers of each other failure domain that are alive or listed; without VMs that are
     * stopping or leaving. */
    [[nodiscard]] std::map<FailureDomain, std::vector<PeerAddress>> remoteAddresses() const;

    /** @return Address of the incarnation; empty when the incarnation is unknown, replaced or retired. */
    [[nodiscard]] std::optional<PeerAddress> addressOf(Incarnation incarnation) const;

    /** @return True when the incarnation is known and not suspected. */
    [[nodiscard]] bool isAlive(Incarnation incarnation) const;

    /** @return Time of the incarnation's last heartbeat; empty when the incarnation is unknown, replaced or retired. */
    [[nodiscard]] std::optional<Instant> lastHeard(Incarnation incarnation) const;

    /** @return True when the platform lists this router's VM as leaving. */
    [[nodiscard]] bool selfLeaving() const noexcept { return selfLeaving_; }

    /** @brief The live routers of this router's failure domain that are overloaded. */
    struct DomainOverload {
        /** Live peers of the failure domain. */
        std::size_t peers = 0;
        /** Those that are overloaded. */
        std::size_t overloaded = 0;
        /** Overloaded peers with a lower incarnation than this router's. */
        std::size_t overloadedBefore = 0;
    };
    [[nodiscard]] DomainOverload domainOverload() const;

    /** @brief Numbers of peers by state, and of other VMs in the platform's list; for operators and metrics. */
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
        Instant lastHeartbeatAt {};
        Instant suspectedAt {};
    };

    /** @brief An unknown incarnation that claims the address of a known incarnation. */
    struct Candidate {
        Incarnation incarnation;
        Instant firstHeartbeatAt {};
    };

    /** @brief A VM in the platform's list. */
    struct Listed {
        FailureDomain domain;
        Region region;
        bool leaving = false;
    };

    /** @brief The peer selected for one role; heartbeats are exchanged with this peer in every period. */
    struct SelectedPeer {
        std::optional<Incarnation> peer;
        Instant since {};

        /** @brief Sets the peer; `since` changes only when the peer does. */
        void setPeer(std::optional<Incarnation> newPeer, Instant now);
    };

    using Peers = std::map<Incarnation, Peer>;

    void addPeer(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);
    void resolveAddressConflict(Incarnation from, const PeerAddress& address, const HeartbeatFacts& facts, Instant now);
    void replaceIncumbent(Incarnation incumbent, Instant now);
    void updatePeer(Incarnation from, const HeartbeatFacts& facts, Instant now);
    void rememberEnded(Incarnation ended);
    void removePeer(Incarnation incarnation);
    void detectOwnPause(Instant now);
    void suspectSilentPeers(Instant now);
    void forgetUnlistedPeers(Instant now);
    void updateSettled(Instant now);
    void chooseWitness(Instant now);
    void chooseRemoteReplicas(Instant now);
    /** @return The eligible peer of least secondRemoteReplicaCost(), the remote replica excepted; empty if none. */
    [[nodiscard]] std::optional<Incarnation> bestSecondRemoteReplica() const;
    /**
     * @return Cost of the peer as second remote replica: its distance, then whether the peer is in the first remote
     * replica's failure domain. Lower is better.
     */
    [[nodiscard]] std::pair<int, bool> secondRemoteReplicaCost(Incarnation peer) const;
    void scheduleAnswer(const PeerAddress& address, Instant now);
    void planAnswers(Instant now, MembershipActions& actions);
    void planHeartbeats(Instant now, MembershipActions& actions);
    void planSend(const PeerAddress& address, Instant now, MembershipActions& actions);
    void refreshRotations();
    [[nodiscard]] std::set<PeerAddress> everyPeriodAddresses() const;
    [[nodiscard]] std::set<PeerAddress> knownAddresses() const;
    /** @return Time in which each address of the rotation gets a heartbeat once. */
    [[nodiscard]] Duration rotationPeriod(const Rotation& rotation, std::uint32_t perPeriod) const;
    /** @return Silence after which the peer is suspected. */
    [[nodiscard]] Duration silenceLimitFor(Incarnation incarnation, const Peer& peer) const;
    [[nodiscard]] Duration silenceDuration(Incarnation incarnation, const Peer& peer, Instant now) const;
    [[nodiscard]] bool isInOwnDomain(const PeerAddress& address) const;
    /** @return True when the peer is alive and neither stopping nor listed as leaving. */
    [[nodiscard]] bool isEligible(const Peer& peer) const;
    [[nodiscard]] bool mayWitness(Incarnation incarnation) const;
    [[nodiscard]] bool mayBeRemoteReplica(Incarnation incarnation) const;
    /** @return Start of the every-period heartbeats with the peer; empty for a peer contacted by rotation only. */
    [[nodiscard]] std::optional<Instant> everyPeriodSince(Incarnation incarnation) const;
    /** @return 0 in the own failure domain, 1 in the own region, 2 beyond. */
    [[nodiscard]] int distance(const Peer& peer) const;
    [[nodiscard]] std::uint64_t rank(Incarnation incarnation) const;
    [[nodiscard]] std::vector<Incarnation> nearestFirst() const;

    MembershipSettings settings_;
    std::mt19937_64 random_;
    Peers peers_;
    std::map<PeerAddress, Incarnation> incarnationByAddress_;
    std::map<PeerAddress, Candidate> candidates_;
    std::map<PeerAddress, Listed> listed_;
    /** Incarnations replaced or retired. Bounded; the ledger keeps retired incarnations for good. */
    std::unordered_set<Incarnation> ended_;
    std::deque<Incarnation> endedOrder_;
    /** Watched peers, each with the start of its watch. */
    std::map<Incarnation, Instant> watched_;
    std::set<PeerAddress> pendingAnswers_;
    std::unordered_map<PeerAddress, Instant> lastSent_;
    Rotation domainRotation_;
    Rotation remoteRotation_;
    std::vector<MembershipEvent> events_;
    SelectedPeer witness_;
    SelectedPeer remoteReplica_;
    SelectedPeer secondRemoteReplica_;
    std::optional<Instant> firstTick_;
    Instant lastTick_ {};
    /** Silence before this time is not counted: start of the process, or end of its last pause or lag. */
    Instant silenceCountsFrom_ {};
    Instant nextHeartbeat_ {};
    bool settled_ = false;
    bool selfLeaving_ = false;
    bool selfListed_ = false;
    std::optional<Instant> listGrewAt_;
};

} // namespace swiftlift::membership
