#pragma once

#include <optional>
#include <string>

#include "node/BackendLinks.h"
#include "node/Context.h"
#include "node/Ending.h"
#include "node/FleetDirectory.h"
#include "node/Ledgers.h"
#include "node/LoadExchange.h"
#include "node/LogHealth.h"
#include "node/LogPace.h"
#include "node/Peers.h"
#include "node/ProxyRequests.h"
#include "node/QuarantineCoordinator.h"
#include "node/RelayService.h"
#include "node/StateChanges.h"
#include "node/StreamVersions.h"
#include "swiftlift/node/Core.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/** Components of a core that proxies requests unchanged, by the fleet's configuration, and the events between them. */
class Gateway final : public LedgerListener, public FleetListener, public ServerDirectory {
public:
    explicit Gateway(CoreSettings settings);

    void start();
    void beginEvent() { }
    void finishEvent();

    void on(const ProxyRequestArrived& event);
    void on(const ProxyAttemptProgress& event);
    void on(const ProxyAttemptEnded& event);
    void on(const ProxyRequestAbandoned& event);
    void on(const BackendAnnounced& event);
    void on(const BackendConnected& event) { links_.on(event); }
    void on(const ProbeEnded& event) { links_.on(event); }
    void on(const BackendsSilent& event) { links_.on(event); }
    void on(const RelayRequested& event) { relayService_.on(event); }
    void on(const RelayEnded& event) { relayService_.on(event); }
    void on(const KeyedRecords& event);
    void on(const LogRecords& event);
    void on(const LogExpired& event);
    void on(const LogUnreachable& event);
    void on(const AppendAnswered& event);
    void on(const PeerReceived& event);
    void on(const OverloadChanged& event);
    void on(const StreamEnd& event);
    void on(const LogCalls& event) { changes_.noteLogCalls(event, fleet_.configState()); }
    void on(const Tick& event);
    void on(const StopRequested& event);
    void on(const OperatorAsked& event);
    /** Ignores events that occur only in a core that serves services' documents. */
    template <typename Other> void on(const Other&) { }

    void onClaimDecided(const RequestKey&, Incarnation) override { }
    void onTokensAvailable(const BudgetRef& budget) override;
    void onRetired(const std::string& reason) override;
    void onConfig(const fleet::FleetConfig& config) override;
    void onServerRestarted(const BackendId& server, Instant aliveAt) override;
    void onServerSeen(const fleet::BackendServer& server, Instant at) override;
    void onStreamsRead(const std::map<StreamId, SoftwareVersion>& streams) override;
    [[nodiscard]] std::vector<ReachableServer> reachableServers() const override;
    [[nodiscard]] std::optional<ReachableServer> reachableServer(const BackendId& backend) const override;

    [[nodiscard]] Context& context() noexcept { return context_; }

private:
    /** Handles that the log has answered a call of this router. */
    void noteLogAnswer();
    /** Time between two updates of the list of watched peers. */
    static constexpr Duration watchedPeriod = std::chrono::seconds(1);

    /** At most one in this many VMs of a failure domain asks for no new callers because of its CPU use or lag. */
    static constexpr std::size_t overloadedDivisor = 4;

    void routePeerMessage(const PeerReceived& event);
    /** Informs the quarantine if the log's answer or failure concerns the stream of crash reports. */
    void notifyQuarantineOfLogAnswer(const StreamName& stream);
    /** Emits AnnounceReadiness if it has changed. */
    void announceReadiness();
    void refreshWatched();
    /** Adapts the calls to the log to the number of routers. */
    void paceLogCalls();
    /** @return True if as many other VMs of the failure domain as may be are overloaded already. */
    [[nodiscard]] bool overloadLimitReached() const;
    /** @return Why new requests can't be accepted; empty: they can. */
    [[nodiscard]] std::string reasonNotReady() const;
    /** @return True if a stop was requested and the time for accepting new requests is over. */
    [[nodiscard]] bool closing() const;
    /** @return The server as relays and probes see it. */
    [[nodiscard]] ReachableServer toReachable(const fleet::BackendServer& server) const;
    /** @return Number of routers in the fleet, rather too high than too low. */
    [[nodiscard]] std::uint32_t routerCount() const;
    [[nodiscard]] routing::FleetSize fleetSize() const { return { fleet_.registered(), routerCount() }; }
    [[nodiscard]] Heartbeat heartbeat() const;
    [[nodiscard]] std::string statusText() const;

    Context context_;
    LogHealth health_;
    LogPace pace_;
    StateChanges changes_;
    Peers peers_;
    routing::BackendTable backends_;
    LoadExchange loads_;
    FleetDirectory fleet_;
    Ledgers ledgers_;
    QuarantineCoordinator quarantine_;
    BackendLinks links_;
    RelayService relayService_;
    StreamVersions streamVersions_;
    ProxyRequests proxyRequests_;
    Ending ending_;
    std::string retiredReason_;
    /** When the stop was requested. */
    std::optional<Instant> stopRequested_;
    std::optional<AnnounceReadiness> announced_;
    /** This VM asks for no new callers because of its CPU use or lag. */
    bool overloaded_ = false;
    Instant nextWatched_ {};
    /** Maximum number of routers seen alive at once; a router without heartbeats may still send requests. */
    std::uint32_t maxRoutersSeen_ = 1;
};

} // namespace swiftlift::node
