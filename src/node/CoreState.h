#pragma once

#include <memory>
#include <string>
#include <vector>

#include "node/BackendLinks.h"
#include "node/Context.h"
#include "node/Ending.h"
#include "node/Ledgers.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "node/Placement.h"
#include "node/RelayService.h"
#include "node/Requests.h"
#include "node/Services.h"
#include "node/StateChanges.h"
#include "swiftlift/node/Core.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/** The components of a router's core. Passes each event to the components that it concerns. */
class CoreState final : public LedgerListener, public ServerDirectory {
public:
    explicit CoreState(CoreSettings settings);

    void start();
    /** To be called before each event: detects that this process was paused. */
    void beginEvent();
    /** To be called after each event: does time-driven work and continues requests that waited for the event. */
    void finishEvent();

    void on(const RequestArrived& event);
    void on(const CallerDisconnected& event);
    void on(const AttemptProgress& event);
    void on(const AttemptEnded& event);
    void on(const LogRecords& event);
    void on(const LogExpired& event);
    void on(const LogUnreachable& event);
    void on(const AppendAnswered& event);
    void on(const PeerReceived& event);
    void on(const VmListRead& event);
    void on(const BackendLoad& event);
    void on(const BackendAnnounced& event);
    void on(const BackendConnected& event) { links_.on(event); }
    void on(const ProbeEnded& event) { links_.on(event); }
    void on(const BackendsSilent& event) { links_.on(event); }
    void on(const RelayRequested& event) { relayService_.on(event); }
    void on(const RelayEnded& event) { relayService_.on(event); }
    void on(const CacheEventsRead& event);
    void on(const OrderAnswered& event);
    void on(const Tick& event);
    void on(const StopRequested& event);
    void on(const OperatorAsked& event);
    /** Ignores all other events: they concern proxied requests, which this composition does not handle. */
    template <typename Other> void on(const Other&) { }

    void onClaimDecided(const RequestKey& key, Incarnation owner) override;
    void onTokensAvailable(const BudgetRef& budget) override;
    void onRetired(const std::string& reason) override;
    [[nodiscard]] std::vector<ReachableServer> reachableServers() const override;
    [[nodiscard]] std::optional<ReachableServer> reachableServer(const BackendId& backend) const override;

    /** @return True when the router has caught up with the log and its peers and is not retired. */
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool stopping() const noexcept { return stopping_; }
    [[nodiscard]] bool retired() const noexcept { return !retiredReason_.empty(); }

    [[nodiscard]] Context& context() noexcept { return context_; }
    [[nodiscard]] const Context& context() const noexcept { return context_; }
    [[nodiscard]] const Peers& peers() const noexcept { return peers_; }
    [[nodiscard]] const LogHealth& health() const noexcept { return health_; }
    [[nodiscard]] const BackendLinks& links() const noexcept { return links_; }
    [[nodiscard]] const Services& services() const noexcept { return services_; }
    [[nodiscard]] const routing::BackendTable& backends() const noexcept { return backends_; }
    [[nodiscard]] const Requests& requests() const noexcept { return requests_; }
    [[nodiscard]] const Ledgers& ledgers() const noexcept { return ledgers_; }

private:
    /** Ticks arrive every 20 ms; this long without any event means that the process was paused. */
    static constexpr Duration pauseThreshold = std::chrono::milliseconds(700);
    /** Time between two updates of the incarnations that membership watches for this router's ledgers. */
    static constexpr Duration watchedPeriod = std::chrono::seconds(1);

    [[nodiscard]] Heartbeat heartbeat() const;
    /** Applies the service's weighting to the budgets of its accounts. */
    void onServiceInForce(const settings::ServiceDocument& document);
    void routePeerMessage(const PeerReceived& event);
    void refreshWatched();

    Context context_;
    LogHealth health_;
    StateChanges changes_;
    Peers peers_;
    routing::BackendTable backends_;
    BackendLinks links_;
    RelayService relayService_;
    Services services_;
    Placement placement_;
    Ledgers ledgers_;
    Requests requests_;
    /** Empty while this incarnation is not retired. */
    std::string retiredReason_;
    std::optional<Instant> lastEvent_;
    Instant nextWatched_ {};
    Ending ending_;
    bool stopping_ = false;
};

} // namespace swiftlift::node
