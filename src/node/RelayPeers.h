#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>

#include "node/Context.h"
#include "node/Peers.h"
#include "swiftlift/node/RelayRoute.h"

namespace swiftlift::node {

/** Chooses the peers that relay this router's connections to backend servers that it can't reach itself. */
class RelayPeers {
public:
    RelayPeers(Context& context, const Peers& peers)
        : context_(context)
        , peers_(peers)
    {
    }

    void onHeartbeat(Incarnation from, const Heartbeat& heartbeat);
    void onSuspected(Incarnation peer) { known_.erase(peer); }

    /**
     * @brief Chooses the peer with the fewest requests of this router.
     * @param domain Failure domain of the backend server.
     * @param excluded Peers that must not be chosen.
     * @param doubtful Peers that are only chosen if there is no other.
     * @return The peer; nullopt if no live peer reaches the domain and relays connections.
     */
    [[nodiscard]] std::optional<RelayRoute> choose(const FailureDomain& domain, const std::set<PeerAddress>& excluded,
        const std::set<PeerAddress>& doubtful) const;

    void onDispatched(const PeerAddress& peer) { ++inFlight_[peer]; }
    /** Records that a backend server was reached through the peer. */
    void onReached(const PeerAddress& peer);
    /**
     * @brief Records that the peer could not connect to the backend server.
     * @return True if that shows something of the server: the peer has reached another one since its last failure.
     */
    [[nodiscard]] bool onServerUnreachable(const PeerAddress& peer, const BackendId& backend);
    /** Records that the peer could not be reached, or turned the connection away. */
    void onFailed(const PeerAddress& peer);
    void onEnded(const PeerAddress& peer);

private:
    /** How long a peer that could not be reached, or turned a connection away, gets no requests, and one that reaches
     * no server only those that no other peer can take. */
    static constexpr Duration failurePause = std::chrono::milliseconds(500);

    /** Servers that a peer can't reach in a row, after which its own links are the likelier cause. */
    static constexpr std::size_t maxUnreachableInARow = 2;

    /** What connections through a peer have shown. */
    struct Experience {
        bool reachedServer = false;
        /** Servers that it could not reach since it reached one. */
        std::set<BackendId> unreachable;
        /** Until then its own links count as lost. */
        Instant doubtedUntil {};
    };

    /** What a peer has stated in its last heartbeat. */
    struct KnownPeer {
        RelayAddress relay;
        std::set<FailureDomain> unreachableDomains;
    };

    [[nodiscard]] bool isPaused(const PeerAddress& peer) const;
    [[nodiscard]] bool isDoubted(const PeerAddress& peer) const;
    [[nodiscard]] std::uint32_t inFlight(const PeerAddress& peer) const;

    Context& context_;
    const Peers& peers_;
    std::map<Incarnation, KnownPeer> known_;
    std::map<PeerAddress, std::uint32_t> inFlight_;
    std::map<PeerAddress, Instant> pausedUntil_;
    std::map<PeerAddress, Experience> experience_;
};

} // namespace swiftlift::node
