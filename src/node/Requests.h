#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/Call.h"
#include "node/Context.h"
#include "node/Services.h"
#include "node/ShardLedger.h"
#include "swiftlift/request/RequestTable.h"
#include "swiftlift/routing/Admission.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/RetryBudget.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::node {

/** Finds the ledger shard of a client account. */
using ShardFinder = std::function<ShardLedger&(const AccountId&)>;

/** Hears which model a request was given up for, as no engine has it. */
using UnservedListener = std::function<void(const std::string& model)>;

/**
 * @brief Takes each request from arrival to its one final answer: money, claim, backend server, bill.
 *
 * Arrival and money stand in Requests.cpp, the way to a backend server in RequestsDispatch.cpp, the answer and its bill
 * in RequestsEnd.cpp.
 */
class Requests {
public:
    Requests(Context& context, Services& services, routing::BackendTable& backends, ShardFinder shards,
        UnservedListener unserved);

    void arrive(CallId id, CallerRequest request);
    /** Refuses without looking further: nothing of it is known here, and nothing was started. */
    void refuseImmediately(CallId id, const CallerRequest& request, const GivingUp& why);
    void callerDisconnected(CallId id);
    void onProgress(const AttemptProgress& progress);
    void onAttemptEnded(const AttemptEnded& ended);
    void onClaimDecided(const RequestKey& key, Incarnation owner);
    void onTokensAvailable(const BudgetRef& budget);
    /** This process has not run for a while. */
    void onSelfPaused();
    void tick();
    /** To be called after each event: tries again what waited for something that came with it. */
    void finishEvent();

    [[nodiscard]] std::size_t inProgress() const noexcept { return calls_.size(); }
    [[nodiscard]] const request::RequestTable& table() const noexcept { return table_; }

private:
    /** How long a request waits for money that is under way; a draw takes two passes of the log. */
    static constexpr Duration moneyPatience = std::chrono::seconds(2);
    static constexpr Duration claimPatience = std::chrono::seconds(2);
    /** How long an answer waits for its bill to be copied; a copy takes one exchange within the failure domain. */
    static constexpr Duration billPatience = std::chrono::milliseconds(250);
    /** How long it waits when the bill may still be refused. */
    static constexpr Duration billDecisionPatience = std::chrono::seconds(5);
    static constexpr Duration moneyRetryPeriod = std::chrono::milliseconds(50);
    /** How long after a pause buffers are taken to hold requests from before it. */
    static constexpr Duration pauseDoubt = std::chrono::seconds(2);
    /** Backend servers that one request is offered to before it is refused. */
    static constexpr std::size_t mostOffers = 8;
    static constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

    /** What a service's requests share. */
    struct ServiceState {
        routing::Admission admission;
        routing::RetryBudget retries;
    };

    [[nodiscard]] bool checkRequest(Call& call);
    [[nodiscard]] bool checkLimits(Call& call);
    void refuseDuplicate(const Call& call, request::Arrival arrival);
    void seekMoney(Call& call);
    void seekClaim(Call& call);
    /** Ends a non-idempotent request whose key the ledger has given to somebody, or voided. @return True when it did.
     */
    [[nodiscard]] bool endByKnownClaim(Call& call);
    void decideClaim(Call& call, Incarnation owner, bool ours);
    void retryForMoney(const std::function<bool(const Call&)>& wanted);
    void seekBackend(Call& call);
    void pump(const ServiceName& service);
    void pumpAll();
    [[nodiscard]] routing::SelectRequest selectRequest(const Call& call) const;
    [[nodiscard]] routing::WaitingCall waitingCall(const Call& call) const;
    [[nodiscard]] bool admitted(Call& call, const routing::AdmissionDecision& verdict);
    void dispatch(Call& call, const routing::Choice& choice);
    void complete(Call& call, const AttemptEnded& ended);
    void answerSecured();
    void answer(Call& call, bool secured);
    /** Says who has the bill at the moment at which the caller is told. */
    void logBill(const Call& call, bool secured) const;
    void refuseBill(Call& call);
    void tryElsewhere(Call& call, const AttemptEnded& ended);
    void finishAttempt(Call& call, request::AttemptEnd end, const AttemptEnded* facts);
    void cancelAttempt(Call& call);
    /** @return The ledger item to be secured; 0 when nothing was billed. */
    std::uint64_t settle(Call& call, Tokens actual);
    void giveUp(Call& call, const GivingUp& why);
    void end(Call& call, request::Outcome outcome, const std::string& reason, Tokens billed);
    void expire();
    void observeFirstToken(Call& call);
    [[nodiscard]] bool inDoubt() const;
    [[nodiscard]] Tokens spentSoFar(const Call& call) const;
    [[nodiscard]] ServiceState& stateOf(const Call& call);
    [[nodiscard]] Call* find(CallId id);
    void enter(Call& call, Phase phase);

    Context& context_;
    Services& services_;
    routing::BackendTable& backends_;
    ShardFinder shards_;
    UnservedListener unserved_;
    std::unique_ptr<routing::Selector> selector_;
    request::RequestTable table_;
    std::map<CallId, std::unique_ptr<Call>> calls_;
    std::unordered_map<RequestKey, CallId> byKey_;
    std::map<AttemptId, CallId> byAttempt_;
    std::map<ServiceName, ServiceState> serviceStates_;
    /** Budgets with new money since the last event; tried only after it, as reserving may bring more. */
    std::set<BudgetRef> moneyArrived_;
    std::uint64_t lastAttempt_ = 0;
    Instant nextMoneyRetry_ {};
    /** Until then a request that comes in may have waited in a buffer while this process was paused. */
    std::optional<Instant> doubtUntil_;
};

} // namespace swiftlift::node
