#pragma once

#include <optional>
#include <string>

#include "node/Context.h"
#include "node/Ending.h"
#include "node/FleetDirectory.h"
#include "node/Ledgers.h"
#include "node/LogHealth.h"
#include "node/Peers.h"
#include "node/ProxyRequests.h"
#include "node/QuarantineCoordinator.h"
#include "node/StateChanges.h"
#include "swiftlift/node/Core.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::node {

/** The parts of a core that passes requests on as they came, by the fleet's configuration. */
class Gateway final : public LedgerListener, public FleetListener {
public:
    explicit Gateway(CoreSettings settings);

    void start();
    void beginEvent() { }
    void finishEvent();

    void on(const ProxyRequestArrived& event);
    void on(const ProxyAttemptProgress& event);
    void on(const ProxyAttemptEnded& event);
    void on(const ProxyRequestAbandoned& event);
    void on(const KeyedRecords& event);
    void on(const LogRecords& event);
    void on(const LogExpired& event);
    void on(const LogUnreachable& event);
    void on(const AppendAnswered& event);
    void on(const PeerReceived& event);
    void on(const Tick& event);
    void on(const StopRequested& event);
    void on(const OperatorAsked& event);
    /** What concerns the services' documents is not this composition's. */
    template <typename Other> void on(const Other&) { }

    void onClaimDecided(const RequestKey&, Incarnation) override { }
    void onTokensAvailable(const BudgetRef& budget) override;
    void onRetired(const std::string& reason) override;
    void onConfig(const fleet::FleetConfig& config) override;
    void onServerRestarted(const BackendId& server, Instant aliveAt) override;
    void onServerSeen(const fleet::BackendServer& server, Instant at) override;

    [[nodiscard]] Context& context() noexcept { return context_; }

private:
    static constexpr Duration watchedPeriod = std::chrono::seconds(1);

    void routePeerMessage(const PeerReceived& event);
    void noteReportAnswer(const StreamName& stream);
    void announce();
    void refreshWatched();
    /** @return Why new requests can't be taken; empty: they can. */
    [[nodiscard]] std::string unready() const;
    [[nodiscard]] bool closing() const;
    [[nodiscard]] std::uint32_t routers() const;
    [[nodiscard]] Heartbeat heartbeat() const;
    [[nodiscard]] std::string statusText() const;

    Context context_;
    LogHealth health_;
    StateChanges changes_;
    Peers peers_;
    routing::BackendTable backends_;
    FleetDirectory fleet_;
    Ledgers ledgers_;
    QuarantineCoordinator quarantine_;
    ProxyRequests proxyRequests_;
    Ending ending_;
    std::string retiredReason_;
    std::optional<Instant> stopRequested_;
    std::optional<AnnounceReadiness> announced_;
    Instant nextWatched_ {};
    /** Most routers ever seen at once: one that is silent may still send. */
    std::uint32_t mostRouters_ = 1;
};

} // namespace swiftlift::node
