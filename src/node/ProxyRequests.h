#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/BackendLinks.h"
#include "node/Context.h"
#include "node/FleetDirectory.h"
#include "node/Ledgers.h"
#include "node/ProxyRequest.h"
#include "node/QuarantineCoordinator.h"
#include "node/StreamVersions.h"
#include "swiftlift/routing/Admission.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/FleetShare.h"
#include "swiftlift/routing/RetryShare.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::node {

/**
 * @brief Handles each proxied request from its arrival to its single final answer.
 *
 * ProxyRequests.cpp: arrival and token reservation. ProxyRequestsStreams.cpp: the version at which a stream may go on.
 * ProxyRequestsDispatch.cpp: choice of a backend server and attempts. ProxyRequestsRetries.cpp: what failed attempts
 * lead to.
 * ProxyRequestsEnd.cpp: end and billing. A caller's request id names one attempt of the caller and is never reused.
 * After a request's end only the quarantine retains data about its content, and StreamVersions the version at which its
 * stream began.
 */
class ProxyRequests {
public:
    /** @param fleetSize Returns the fleet's size, for this router's share of the fleet's retries. */
    ProxyRequests(Context& context, const FleetDirectory& fleet, routing::BackendTable& backends, BackendLinks& links,
        Ledgers& ledgers, QuarantineCoordinator& quarantine, StreamVersions& streamVersions,
        std::function<routing::FleetSize()> fleetSize);

    void start() { startedAt_ = context_.now(); }

    /**
     * @brief Starts handling a request.
     * @param at When the request was complete; a later time than now counts as now.
     */
    void onArrived(CallId id, const ProxyRequestInfo& info, Instant at);
    /** Refuses with status 503 a request that this router does not handle at all, because it starts or stops. */
    void refuseImmediately(CallId id, const ProxyRequestInfo& info, std::string reason, std::string detail);
    void onProgress(const ProxyAttemptProgress& progress);
    void onAttemptEnded(const ProxyAttemptEnded& ended);
    void onAbandoned(const ProxyRequestAbandoned& abandoned);
    /**
     * @brief Ends the attempts that ran on the previous instance of a restarted backend server.
     * @param aliveAt Latest time at which the previous instance was known to run; attempts sent before it are lost.
     */
    void onServerRestarted(const BackendId& server, Instant aliveAt);
    /** The search for the version at which the stream of a request began has ended. @param version nullopt: unknown. */
    void onStreamVersion(CallId call, const FoundVersion& found);
    void onTokensAvailable(const BudgetRef& budget) { replenishedBudgets_.insert(budget); }
    /** Handles that requests in progress will be cut at this time, because this router stops. */
    void onStop(Instant cutAt) { cutAt_ = cutAt; }
    void tick();
    /** To be called after each event: retries the requests for whose budget tokens became available. */
    void finishEvent();

    /** @return Number of requests without a final answer, plus cut answers that are not billed yet. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return proxyRequests_.size() + cutAnswers_.size(); }
    /** @return The backend server of the attempt that ended most recently. */
    [[nodiscard]] const BackendId& lastEndedBackend() const noexcept { return lastEndedBackend_; }

private:
    /** An answer that goes on for so long shows that the request crashes no server. */
    static constexpr Duration longAnswer = std::chrono::seconds(1);
    /** Maximum wait for pending tokens; a draw takes two passes of the log, append and read back. */
    static constexpr Duration maxTokenWait = std::chrono::milliseconds(600);
    /** Minimum wait, for routes with a shorter objective; a draw or loan takes this long without load. */
    static constexpr Duration minTokenWait = std::chrono::milliseconds(150);
    /**
     * Minimum `retryAfter` of a refusal for missing tokens. Before this router can draw them, another router has to
     * return them and this router has to read that from the log, so an immediate retry would be refused again.
     */
    static constexpr Duration minTokenRetryAfter = std::chrono::seconds(2);
    /** Time between two attempts to reserve tokens for all waiting requests. */
    static constexpr Duration tokenRetryPeriod = std::chrono::milliseconds(50);
    /** Maximum number of backend servers that a request is sent to, including those that do not start it. */
    static constexpr std::uint32_t maxArrivals = 4;
    /** Maximum number of attempts, including those that can't be connected. */
    static constexpr std::uint32_t maxDispatches = 8;
    /** Maximum number of waiting requests that are found to have no server in one pass over the queue: each takes a
     * look at all servers of the service. */
    static constexpr std::size_t maxBlocked = 8;
    /** Maximum number of requests per service that wait at this router for a backend server. */
    static constexpr std::size_t maxWaiting = 256;
    /** With less time left, no attempt is started: an answer takes at least a round trip and some processing. */
    static constexpr Duration minTimeLeft = std::chrono::milliseconds(20);
    /** An idempotent request without a whole answer after this many of its route's objectives is retried elsewhere. */
    static constexpr int silenceLimitInObjectives = 3;
    /** Minimum of that silence limit, for routes with a short objective. */
    static constexpr Duration minSilenceLimit = std::chrono::milliseconds(300);
    /** Silence after which an attempt at a resumable stream is abandoned and the stream resumed elsewhere. */
    static constexpr Duration resumableSilenceLimit = std::chrono::milliseconds(2500);
    /**
     * How long to wait for the number of events that the caller of a cut answer received. The transport reports the
     * number within milliseconds; without a report the whole reservation is billed.
     */
    static constexpr Duration eventCountTimeout = std::chrono::seconds(2);
    /** `retryAfter` of refusals while this router starts or stops. */
    static constexpr Duration notReadyRetryAfter = std::chrono::milliseconds(500);
    /** Time that a router may lag behind in the list of backend servers. */
    static constexpr Duration serverListLag = std::chrono::seconds(2);
    /** `retryAfter` of refusals because no server can go on with a stream: servers that crashed are back by then. */
    static constexpr Duration streamRetryAfter = std::chrono::seconds(3);
    /** `retryAfter` of refusals without a better estimate. */
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(500);

    /** State shared by the requests of one service. */
    struct ServiceState {
        routing::Admission admission;
        routing::RetryShare retries;
    };

    /** A request that has ended before its answer was complete, and waits for the event count to be billed. */
    struct CutAnswer {
        std::unique_ptr<ProxyRequest> request;
        /** Attempt that was running when the request ended. */
        AttemptId attempt;
        /** Without a reported event count by then, the whole reservation is billed. */
        Instant eventCountDeadline {};
    };
    using CutAnswers = std::map<CallId, CutAnswer>;

    // Arrival and token reservation. The find functions refuse the request and return false if they find nothing.
    [[nodiscard]] bool findRoute(ProxyRequest& request);
    [[nodiscard]] bool findAccount(ProxyRequest& request);
    [[nodiscard]] bool findService(ProxyRequest& request);
    /** @return True if the request was refused because it is quarantined. */
    [[nodiscard]] bool refuseQuarantined(ProxyRequest& request);
    /** @return True if the configuration may be outdated, and the request was refused for that. */
    [[nodiscard]] bool refuseIfOutdated(ProxyRequest& request);
    /** Refuses with this refusal if the configuration is known to be the newest, else as `config_unconfirmed`. */
    void refuseAsUnknown(ProxyRequest& request, const ProxyRefusal& refusal);
    /** Searches the version at which the caller's stream began, then reserves tokens or refuses. */
    void findStreamVersion(ProxyRequest& request);
    /** Reserves the request's maximum cost and goes on to a backend server, waits for pending tokens, or refuses. */
    void reserveTokens(ProxyRequest& request);
    [[nodiscard]] Duration tokenWaitLimit(const ProxyRequest& request) const;
    /** @return True if the ledger, as read here, has the account's total by the newest configuration. */
    [[nodiscard]] bool totalIsKnown(const ProxyRequest& request) const;
    [[nodiscard]] KnownBudget knownBudget(const ProxyRequest& request) const;
    [[nodiscard]] BudgetRef budgetOf(const ProxyRequest& request) const;
    [[nodiscard]] RequestKey keyOf(const ProxyRequest& request) const;
    /** Retries the requests that wait for tokens of this budget, longest waiting first. */
    void retryWaitingFor(const BudgetRef& budget);
    /** Retries all requests that wait for tokens, since the draw or loan that they wait for may have failed. */
    void retryAllWaitingForTokens();
    void removeFromTokenQueue(const ProxyRequest& request);

    // Choice of a backend server and attempts.
    /** Dispatches the request, queues it until a backend server has room, or refuses it. */
    void selectBackend(ProxyRequest& request);
    /**
     * @brief Refuses the requests that the admission refused or displaced.
     * @return True if the request is to be dispatched.
     */
    [[nodiscard]] bool applyAdmission(ProxyRequest& request, const routing::AdmissionDecision& decision);
    /** @return True if the request would be cut by the stop of this router: it was not sent to any server yet. */
    [[nodiscard]] bool wouldBeCut(const ProxyRequest& request) const;
    void dispatch(ProxyRequest& request, const routing::Choice& choice);
    /** Binds the stream to the version of the server that sent its first event. */
    void noteStreamBegan(ProxyRequest& request);
    /** The whole answer was forwarded to the caller. */
    void noteStreamComplete(const ProxyRequest& request);
    void retryOrFail(ProxyRequest& request, const ProxyAttemptEnded& ended);
    /** @return Why the request must not be sent to another backend server; empty: it may, and one retry is reserved. */
    [[nodiscard]] std::string objectionToRetry(ProxyRequest& request);
    /** @return True if this router's share of the fleet's retries allows another one; it is reserved then. */
    [[nodiscard]] bool reserveRetry(ProxyRequest& request);
    /** Counts the request's next attempt as a retry, if one is reserved for it. */
    void countRetry(ProxyRequest& request);
    /** Gives back the retry that the request's attempt was counted as, because the attempt reached no server. */
    void refundRetry(ProxyRequest& request);
    /** Dispatches waiting requests of the service while backend servers have room for them. Requests that can't go now
     * don't delay the others. */
    void dispatchWaiting(const ServiceName& service);
    /** Removes a waiting request from the queue, and dispatches or refuses it. */
    void serveWaiting(ProxyRequest& request, const std::optional<routing::Choice>& choice);
    void logRoute(const ProxyRequest& request, const routing::Choice& choice, const SoftwareVersion& version);
    /** Records at the first event of an attempt what it shows of the prediction and of the server's cache. */
    void notePromptServed(const ProxyRequest& request);
    void compareWithPrediction(const ProxyRequest& request);
    [[nodiscard]] routing::SelectRequest makeSelectRequest(const ProxyRequest& request) const;
    [[nodiscard]] routing::WaitingCall makeWaitingCall(const ProxyRequest& request) const;
    /** @return Silence after which the attempt is abandoned; nullopt: only the deadline limits it. */
    [[nodiscard]] std::optional<Duration> silenceLimit(const ProxyRequest& request) const;

    // End and billing.
    /** Reports to the quarantine an answer that has lasted longer than a request that crashes its server does. */
    void noteLongAnswer(ProxyRequest& request);
    /** Reports to the quarantine what the end of an attempt shows about the request and its backend server. */
    void reportToQuarantine(const ProxyRequest& request, const ProxyAttemptEnded& ended);
    /** Refuses a request that no link leads to a backend server for. */
    void refuseUnreachable(ProxyRequest& request);
    void complete(ProxyRequest& request, const ProxyAttemptEnded& ended);
    /** Ends the request with this refusal and cancels its attempt. */
    void refuse(ProxyRequest& request, const ProxyRefusal& refusal);
    /**
     * @brief Ends the request with the failure answer that the transport keeps.
     * @param objection Why the request was not retried, for logs.
     */
    void forwardFailure(ProxyRequest& request, const std::string& objection);
    void cancelAttempt(ProxyRequest& request);
    /** @param facts How the attempt ended; its pace is added. */
    void closeAttempt(ProxyRequest& request, routing::FinishFacts facts);
    /** @return Tokens billed: at most the reserved tokens, 0 without a reservation. */
    Tokens settle(ProxyRequest& request, Tokens actual);
    /** @return Tokens to bill for the events that were forwarded, as far as known: prompt and answer. */
    [[nodiscard]] Tokens forwardedTokens(const ProxyRequest& request) const;
    /** @return Tokens to bill for an answer that was forwarded completely. */
    [[nodiscard]] Tokens wholeAnswerTokens(const ProxyRequest& request) const;
    /** Removes the request, and withdraws its demand for tokens if it waits for them. */
    void end(ProxyRequest& request);
    /** Removes the request from those in progress and from the queue for a backend server. */
    [[nodiscard]] std::unique_ptr<ProxyRequest> remove(ProxyRequest& request);
    /**
     * @brief Removes a request that has its final answer. If the request was sent to a backend server, billing waits
     * for the transport's event count.
     * @param attempt Attempt that was running, if any.
     */
    void finishOnceCounted(ProxyRequest& request, AttemptId attempt);
    /** Bills the cut answer that this event count belongs to, if there is one. */
    void billAbandoned(const ProxyRequestAbandoned& abandoned);
    /** Bills the cut answer whose last attempt has ended, if there is one. */
    void billEnded(const ProxyAttemptEnded& ended);
    /** Bills the whole reservation of cut answers whose event count was not reported in time. */
    void billUncounted();
    void billCutAnswer(CutAnswers::iterator cut, Tokens actual);
    /** Refuses requests that have passed their deadline or can't meet it. */
    void expire();
    /** @param line Log line with the request's fields; the refusal's fields are added. */
    void logRefusal(const ProxyRefusal& refusal, LogLineBuilder line);

    [[nodiscard]] ServiceState& serviceState(const ProxyRequest& request);
    [[nodiscard]] ProxyRequest* find(CallId id);
    [[nodiscard]] ProxyRequest* findByAttempt(AttemptId attempt);
    void enterPhase(ProxyRequest& request, ProxyPhase phase);

    Context& context_;
    const FleetDirectory& fleet_;
    routing::BackendTable& backends_;
    BackendLinks& links_;
    Ledgers& ledgers_;
    QuarantineCoordinator& quarantine_;
    StreamVersions& streamVersions_;
    std::function<routing::FleetSize()> fleetSize_;
    std::unique_ptr<routing::Selector> selector_;
    std::map<CallId, std::unique_ptr<ProxyRequest>> proxyRequests_;
    std::map<AttemptId, CallId> callByAttempt_;
    CutAnswers cutAnswers_;
    std::map<ServiceName, ServiceState> services_;
    /** Requests that wait for tokens of each budget, in order of arrival. */
    std::map<BudgetRef, std::set<CallId>> tokenQueues_;
    /**
     * Budgets with newly available tokens. Their waiting requests are retried after the event, because reserving tokens
     * may add budgets to this set.
     */
    std::set<BudgetRef> replenishedBudgets_;
    Instant startedAt_ {};
    /** When this router's stop cuts requests in progress. */
    std::optional<Instant> cutAt_;
    BackendId lastEndedBackend_;
    std::uint64_t lastAttempt_ = 0;
    Instant nextTokenRetry_ {};
};

/** @return Name of the only budget that an account of the fleet's configuration can have. */
[[nodiscard]] const BudgetId& prepaidBudget();

} // namespace swiftlift::node
