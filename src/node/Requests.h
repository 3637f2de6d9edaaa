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

#include "node/BackendLinks.h"
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

/** Called with the model of a request that was refused because no backend server offers it. */
using UnservedListener = std::function<void(const std::string& model)>;

/**
 * @brief Handles each request from its arrival to its single final answer: tokens, claim, backend server, bill.
 *
 * Requests.cpp: arrival, token reservation and claim. RequestsDispatch.cpp: choice of a backend server and attempts.
 * RequestsEnd.cpp: answer and billing.
 */
class Requests {
public:
    Requests(Context& context, Services& services, routing::BackendTable& backends, BackendLinks& links,
        ShardFinder shards, UnservedListener unserved);

    void arrive(CallId id, CallerRequest request);
    /** Refuses a request that this router has not begun to handle. */
    void refuseImmediately(CallId id, const CallerRequest& request, const Refusal& refusal);
    void callerDisconnected(CallId id);
    void onProgress(const AttemptProgress& progress);
    void onAttemptEnded(const AttemptEnded& ended);
    void onClaimDecided(const RequestKey& key, Incarnation owner);
    void onTokensAvailable(const BudgetRef& budget);
    /** To be called when this process continues after a pause. */
    void onSelfPaused();
    void tick();
    /** To be called after each event: answers calls whose bill is secured and retries calls that waited for tokens. */
    void finishEvent();

    [[nodiscard]] std::size_t inProgress() const noexcept { return calls_.size(); }
    [[nodiscard]] const request::RequestTable& table() const noexcept { return table_; }

private:
    /** Maximum wait for pending tokens; a draw takes two passes of the log, append and read back. */
    static constexpr Duration maxTokenWait = std::chrono::seconds(2);
    /** How long a request waits until its claim is read back from the log. */
    static constexpr Duration claimTimeout = std::chrono::seconds(2);
    /** How long an answer waits for a copy of its bill; a copy takes one round trip within the failure domain. */
    static constexpr Duration billCopyTimeout = std::chrono::milliseconds(250);
    /** How long an answer waits while the ledger may still refuse its bill. */
    static constexpr Duration billDecisionTimeout = std::chrono::seconds(5);
    /** Time between two attempts to reserve tokens for all waiting requests. */
    static constexpr Duration tokenRetryPeriod = std::chrono::milliseconds(50);
    /** How long after a pause of this process an arriving request may have been buffered during the pause. */
    static constexpr Duration unknownHistoryPeriod = std::chrono::seconds(2);
    /** Maximum number of backend servers that a request is sent to. */
    static constexpr std::size_t maxServers = 8;
    /** Maximum number of attempts, including those that no link or relay let through. */
    static constexpr std::size_t maxDispatches = 12;
    /** `retryAfter` of refusals without a better estimate. */
    static constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

    /** State shared by the requests of one service. */
    struct ServiceState {
        routing::Admission admission;
        routing::RetryBudget retries;
    };

    /** Refuses an invalid request. @return True if the request is valid. */
    [[nodiscard]] bool checkRequest(Call& call);
    [[nodiscard]] bool checkLimits(Call& call);
    void refuseDuplicate(const Call& call, request::Arrival arrival);
    /** Reserves the call's maximum cost and goes on to the claim, waits for pending tokens, or refuses the call. */
    void reserveTokens(Call& call);
    /** Appends a claim for a non-idempotent request; an idempotent one goes on to a backend server. */
    void requestClaim(Call& call);
    /** @return True if the request was refused, because it is not idempotent and its key is claimed or voided. */
    [[nodiscard]] bool refuseIfClaimed(Call& call);
    /** Goes on to a backend server, or refuses the call. @param ownClaim The call itself appended the claim. */
    void decideClaim(Call& call, Incarnation owner, bool ownClaim);
    /** Retries the token reservation of the waiting calls that satisfy the predicate. */
    void retryTokenReservations(const std::function<bool(const Call&)>& matches);
    /** Dispatches the call, queues it until a backend server has room, or refuses it. */
    void selectBackend(Call& call);
    /** Dispatches waiting calls of the service while backend servers have room. */
    void dispatchWaiting(const ServiceName& service);
    void dispatchAllWaiting();
    [[nodiscard]] routing::SelectRequest makeSelectRequest(const Call& call) const;
    [[nodiscard]] routing::WaitingCall makeWaitingCall(const Call& call) const;
    /**
     * @brief Refuses the calls that the admission refused or displaced.
     * @return True if the call is to be dispatched.
     */
    [[nodiscard]] bool applyAdmission(Call& call, const routing::AdmissionDecision& decision);
    void dispatch(Call& call, const routing::Choice& choice);
    void complete(Call& call, const AttemptEnded& ended);
    /** Answers the calls whose bill is secured or has waited long enough. */
    void answerBilledCalls();
    /** @param secured False: the bill exists only in this process. */
    void answer(Call& call, bool secured);
    /** Logs which routers have a copy of the bill when the caller gets its answer. */
    void logBill(const Call& call, bool secured) const;
    /** Ends the call without an answer, because the ledger did not accept its bill. */
    void onBillRefused(Call& call);
    void retryOrFail(Call& call, const AttemptEnded& ended);
    void finishAttempt(Call& call, const AttemptEnded& ended, ServerEvidence shown);
    void cancelAttempt(Call& call);
    /** @return Number of the bill among this router's ledger items; 0: nothing was billed. */
    std::uint64_t settle(Call& call, Tokens actual);
    /** Ends the call with this refusal, cancels its attempt and releases its reservation. */
    void refuse(Call& call, const Refusal& refusal);
    void end(Call& call, request::Outcome outcome, const std::string& reason, Tokens billed);
    /** Refuses calls that have passed their deadline, can't meet it, or waited too long for their claim. */
    void expire();
    void noteFirstToken(Call& call);
    /** @return True shortly after a pause, when an arriving request may already have run at another router. */
    [[nodiscard]] bool isHistoryUnknown() const;
    /** @return Tokens to bill for the part of the answer that was forwarded: prompt and answer. */
    [[nodiscard]] Tokens forwardedTokens(const Call& call) const;
    [[nodiscard]] ServiceState& serviceState(const Call& call);
    [[nodiscard]] Call* find(CallId id);
    void enterPhase(Call& call, CallPhase phase);

    Context& context_;
    Services& services_;
    routing::BackendTable& backends_;
    BackendLinks& links_;
    ShardFinder shards_;
    UnservedListener unservedListener_;
    std::unique_ptr<routing::Selector> selector_;
    request::RequestTable table_;
    std::map<CallId, std::unique_ptr<Call>> calls_;
    std::unordered_map<RequestKey, CallId> callByKey_;
    std::map<AttemptId, CallId> callByAttempt_;
    std::map<ServiceName, ServiceState> serviceStates_;
    /**
     * Budgets with newly available tokens. Their waiting calls are retried after the event, because reserving tokens
     * may add budgets to this set.
     */
    std::set<BudgetRef> replenishedBudgets_;
    std::uint64_t lastAttempt_ = 0;
    Instant nextTokenRetry_ {};
    /** Requests that arrive before this time may have been buffered while this process was paused. */
    std::optional<Instant> historyUnknownUntil_;
};

} // namespace swiftlift::node
