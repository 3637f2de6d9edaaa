#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/Context.h"
#include "node/Peers.h"
#include "node/RelayPeers.h"
#include "swiftlift/node/RelayRoute.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/LinkMonitor.h"

namespace swiftlift::node {

/** A backend server, and where to connect to it. */
struct ReachableServer {
    BackendId backend;
    FailureDomain domain;
    BackendAddress address;
    /** False: it is leaving, or its failure domain is evacuated. */
    bool getsRequests = true;
};

/** The backend servers that a composition of the core knows. */
class ServerDirectory {
public:
    ServerDirectory() = default;
    virtual ~ServerDirectory() = default;
    ServerDirectory(const ServerDirectory&) = delete;
    ServerDirectory& operator=(const ServerDirectory&) = delete;

    [[nodiscard]] virtual std::vector<ReachableServer> reachableServers() const = 0;
    /** @return The server; nullopt: it is not known. */
    [[nodiscard]] virtual std::optional<ReachableServer> reachableServer(const BackendId& backend) const = 0;
};

/** How a request gets to a backend server. */
struct LinkPath {
    /** False: the server can't be reached in any way. */
    bool open = true;
    /** The peer that relays the connection; nullopt: this router connects itself. */
    std::optional<RelayRoute> relay;
};

/** What one request has met on its way to backend servers. */
struct LinkHistory {
    /** The peer that relays the current attempt; nullopt: none. */
    std::optional<PeerAddress> relay;
    /** Peers that could not relay the request. */
    std::set<PeerAddress> failedRelays;
    /** Peers that could not reach a server for the request, and may have lost their own links. */
    std::set<PeerAddress> doubtfulRelays;
    /** A connection of this router's own to a backend server was of no use to the request. */
    bool connectFailed = false;
};

/** An attempt to run a request at a backend server. */
struct LinkAttempt {
    BackendId backend;
    FailureDomain domain;
    /** For logs. */
    std::string request;
};

/** What the end of an attempt shows of the links that it used. */
struct LinkEvidence {
    ConnectFailure failure = ConnectFailure::None;
    /** The backend server answered. */
    bool answered = false;
};

/** What the end of an attempt shows of its backend server. */
enum class ServerEvidence : std::uint8_t {
    /** The server answered or failed. */
    Conclusive,
    /** The server or a peer's links may have failed, or the peer knows that the server gets no requests. */
    Doubtful,
    /** Another part of the way failed: the server may be sound. */
    None,
};

/**
 * @brief This router's links to backend servers: whether they work, and which peers relay connections while they don't.
 *
 * A relayed connection is a byte stream: choice of the server, tokens, retries, limits and deadlines stay with the
 * router that took the request from its caller. A relay connects to backend servers only, so there is one hop at most.
 */
class BackendLinks {
public:
    BackendLinks(Context& context, const Peers& peers, const ServerDirectory& servers, routing::BackendTable& backends);

    void onHeartbeat(Incarnation from, const Heartbeat& heartbeat) { relays_.onHeartbeat(from, heartbeat); }
    void onSuspected(Incarnation peer) { relays_.onSuspected(peer); }
    void on(const BackendConnected& event);
    void on(const ProbeEnded& event);
    void on(const BackendsSilent& event);
    void tick();

    /** @return How a request gets to a backend server of the domain. */
    [[nodiscard]] LinkPath pathTo(const FailureDomain& domain, const LinkHistory& history) const;
    void onDispatched(LinkHistory& history, const LinkPath& path);
    /** Processes the first part of an answer. */
    void onAnswering(const LinkHistory& history, const FailureDomain& domain);
    ServerEvidence onEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence);
    /** Processes a failed connection that this router made for a peer. */
    void onRelayedConnectFailed(const BackendId& backend, ConnectFailure failure);

    /** @return True if this router can't connect to any backend server. */
    [[nodiscard]] bool lost() const { return monitor_.linksLost(context_.now()); }
    /** @return The domains to be avoided as long as others have a usable backend server. */
    [[nodiscard]] std::set<FailureDomain> unreachableDomains() const
    {
        return monitor_.unreachableDomains(context_.now());
    }
    /** @return The domains that this router can't reach itself, for its peers. */
    [[nodiscard]] std::vector<FailureDomain> unreachableDomainsForPeers() const;
    /** @return True if this router can't reach the domain itself. */
    [[nodiscard]] bool seemsUnreachable(const FailureDomain& domain) const
    {
        return monitor_.seemsUnreachable(domain, context_.now());
    }

private:
    /** Time between two looks for domains that were never connected to. */
    static constexpr Duration newDomainPeriod = std::chrono::seconds(1);
    /** Time between two looks for servers to probe. */
    static constexpr Duration probeRound = std::chrono::milliseconds(100);

    void sendProbes();
    ServerEvidence onOwnEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence);
    ServerEvidence onRelayedEnded(LinkHistory& history, const LinkAttempt& attempt, const LinkEvidence& evidence);
    void onConnectFailed(
        const FailureDomain& domain, const BackendId& backend, ConnectFailure failure, const std::string& cause);
    void updateDomain(const FailureDomain& domain, const std::function<void()>& change, const std::string& cause);
    /** Logs the links' state if it has changed. */
    void noteLinks(const std::string& cause);

    Context& context_;
    const ServerDirectory& servers_;
    routing::BackendTable& backends_;
    routing::LinkMonitor monitor_;
    RelayPeers relays_;
    /** Failure domains of the servers that were known when the probes were last chosen. */
    std::set<FailureDomain> domains_;
    Instant nextRound_ {};
    Instant nextNewDomains_ {};
    bool lostNoted_ = false;
};

} // namespace swiftlift::node
