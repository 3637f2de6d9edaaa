#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/Context.h"
#include "node/FleetDirectory.h"
#include "node/Ledgers.h"
#include "node/ProxyRequest.h"
#include "node/QuarantineCoordinator.h"
#include "swiftlift/routing/Admission.h"
#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/DomainReachability.h"
#include "swiftlift/routing/RetryShare.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::node {

/**
 * @brief Takes each request that is passed on as it came from arrival to its one final answer.
 *
 * Arrival and money stand in ProxyRequests.cpp, the way to a backend server in PassagesDispatch.cpp, the end and its
 * bill in PassagesEnd.cpp. A caller's id names one attempt of it and is never used again. Of a request's content
 * nothing is remembered beyond its end but what the quarantine keeps.
 */
class ProxyRequests {
public:
    /** @param routers Routers of the fleet, for this router's share of what all may do together. */
    ProxyRequests(Context& context, const FleetDirectory& fleet, routing::BackendTable& backends, Ledgers& ledgers,
        QuarantineCoordinator& quarantine, std::function<std::uint32_t()> routers);

    /** @param at When it came; not later than now. */
    void arrive(CallId id, const ProxyRequestInfo& facts, Instant at);
    void refuseImmediately(CallId id, const ProxyRequestInfo& facts, std::string reason, std::string detail);
    void onProgress(const ProxyAttemptProgress& progress);
    void onEnded(const ProxyAttemptEnded& ended);
    void onAbandoned(const ProxyRequestAbandoned& abandoned);
    /** @param aliveAt What was sent to the server before is lost with its former life. */
    void onServerRestarted(const BackendId& server, Instant aliveAt);
    void onTokensAvailable(const BudgetRef& budget) { moneyArrived_.insert(budget); }
    void tick();
    /** To be called after each event: tries again what waited for something that came with it. */
    void finishEvent();

    /** @return Requests without a final answer, and cut answers without a bill. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return proxyRequests_.size() + cut_.size(); }
    /** @return The backend server of the attempt that ended last. */
    [[nodiscard]] const BackendId& lastBackend() const noexcept { return lastBackend_; }

private:
    /** How long a request waits at most for money that is under way; a draw takes two passes of the log. */
    static constexpr Duration moneyPatience = std::chrono::milliseconds(600);
    /** Of a route with a shorter objective, at least: a draw's or a loan's way on a quiet day. */
    static constexpr Duration leastMoneyPatience = std::chrono::milliseconds(150);
    /** What a request is short of here after its wait is not here a moment later: it has to be given back elsewhere,
     * read from the log and drawn. A caller that came back at once would be refused again. */
    static constexpr Duration moneyRetryAfter = std::chrono::seconds(2);
    static constexpr Duration moneyRetryPeriod = std::chrono::milliseconds(50);
    /** Backend servers that one request is sent to at most, those that did not start it included. */
    static constexpr std::uint32_t mostOffers = 4;
    /** Requests of one service that one router lets wait for a backend server. */
    static constexpr std::size_t maxWaiting = 256;
    /** With less time left, no backend server is tried any more: an answer takes a round trip and some work. */
    static constexpr Duration leastTimeLeft = std::chrono::milliseconds(20);
    /** A repeatable whole answer that takes this many times its objective is sought elsewhere. */
    static constexpr int silentObjectives = 3;
    static constexpr Duration leastSilence = std::chrono::milliseconds(300);
    /** A stream that may be resumed elsewhere is given up by its backend server's silence for so long. */
    static constexpr Duration resumableSilence = std::chrono::milliseconds(2500);
    /** The transport says within milliseconds how much of a cut answer its caller got; without a word it is billed at
     * its most. */
    static constexpr Duration countPatience = std::chrono::seconds(2);
    static constexpr Duration notReadyRetry = std::chrono::milliseconds(500);
    static constexpr Duration defaultRetryAfter = std::chrono::milliseconds(500);

    /** What the requests of one service share. */
    struct ServiceState {
        routing::Admission admission;
        routing::RetryShare retries;
    };

    /** What was given up and is not billed yet. */
    struct CutAnswer {
        std::unique_ptr<ProxyRequest> passage;
        AttemptId attempt;
        /** When it is billed at its most. */
        Instant billedAtMost {};
    };
    using CutAnswers = std::map<CallId, CutAnswer>;

    // Arrival and money.
    [[nodiscard]] bool findRoute(ProxyRequest& passage);
    [[nodiscard]] bool findAccount(ProxyRequest& passage);
    [[nodiscard]] bool findService(ProxyRequest& passage);
    /** @return True when the request was refused, as too many backend servers have ended under it. */
    [[nodiscard]] bool refuseQuarantined(ProxyRequest& passage);
    /** Refuses what the configuration doesn't know, if it is known to be the newest. */
    void refuseAsUnknown(ProxyRequest& passage, const ProxyRefusal& why);
    void seekMoney(ProxyRequest& passage);
    [[nodiscard]] Duration patienceForMoney(const ProxyRequest& passage) const;
    [[nodiscard]] KnownBudget knownOf(const ProxyRequest& passage) const;
    [[nodiscard]] BudgetRef budgetOf(const ProxyRequest& passage) const;
    [[nodiscard]] RequestKey keyOf(const ProxyRequest& passage) const;
    /** Gives money that has come to those who wait for it. */
    void spendArrived(const BudgetRef& budget);
    /** Asks again for all that wait: what they wait for may have failed. */
    void retryForMoney();
    void leaveMoneyLine(const ProxyRequest& passage);

    // The way to a backend server.
    void seekBackend(ProxyRequest& passage);
    [[nodiscard]] bool admitted(ProxyRequest& passage, const routing::AdmissionDecision& verdict);
    void dispatch(ProxyRequest& passage, const routing::Choice& choice);
    void tryElsewhere(ProxyRequest& passage, const ProxyAttemptEnded& ended);
    [[nodiscard]] std::string objectionToRepeat(ProxyRequest& passage);
    void pump(const ServiceName& service);
    [[nodiscard]] routing::SelectRequest selectRequest(const ProxyRequest& passage) const;
    [[nodiscard]] routing::WaitingCall waitingCall(const ProxyRequest& passage) const;
    [[nodiscard]] std::optional<Duration> silenceLimit(const ProxyRequest& passage) const;

    // The end.
    /** What the end of an attempt says of its request and of its backend server. */
    void noteLoss(const ProxyRequest& passage, const ProxyAttemptEnded& ended);
    void noteReach(const ProxyRequest& passage, ProxyAttemptEnd end);
    void complete(ProxyRequest& passage, const ProxyAttemptEnded& ended);
    void giveUp(ProxyRequest& passage, const ProxyRefusal& why);
    void passFailureOn(ProxyRequest& passage, const std::string& why);
    void cancelAttempt(ProxyRequest& passage);
    void closeAttempt(ProxyRequest& passage, routing::EndKind kind);
    /** @return What was billed: never more than was reserved, and nothing where nothing was. */
    Tokens settle(ProxyRequest& passage, Tokens actual);
    /** @return What its caller has been given, as far as is known. */
    [[nodiscard]] Tokens used(const ProxyRequest& passage) const;
    /** @return As used(), of an answer that was given whole. */
    [[nodiscard]] Tokens usedWhole(const ProxyRequest& passage) const;
    void end(ProxyRequest& passage);
    /** Takes the passage out of those in progress, and out of the line for a backend server. */
    [[nodiscard]] std::unique_ptr<ProxyRequest> remove(ProxyRequest& passage);
    /** Ends what was given up. Its bill, if it was offered to a backend server, waits for the transport's word.
     * @param attempt The one that was under way, if any. */
    void endOnceCounted(ProxyRequest& passage, AttemptId attempt);
    /** The transport has cut an answer: bills it, if it waits for that. */
    void billAbandoned(const ProxyRequestAbandoned& abandoned);
    /** An attempt ended as its request was given up: bills that, if it waits for that. */
    void billEnded(const ProxyAttemptEnded& ended);
    /** Bills at their most the answers of which the transport has said nothing for too long. */
    void billUncounted();
    void billCut(CutAnswers::iterator cut, Tokens actual);
    void expire();
    /** @param line What is known of the request; the reason is added to it. */
    void logRefusal(const ProxyRefusal& why, LogLineBuilder line);

    [[nodiscard]] ServiceState& stateOf(const ProxyRequest& passage);
    [[nodiscard]] ProxyRequest* find(CallId id);
    [[nodiscard]] ProxyRequest* ofAttempt(AttemptId attempt);
    void enter(ProxyRequest& passage, ProxyPhase phase);

    Context& context_;
    const FleetDirectory& fleet_;
    routing::BackendTable& backends_;
    Ledgers& ledgers_;
    QuarantineCoordinator& quarantine_;
    std::function<std::uint32_t()> routers_;
    std::unique_ptr<routing::Selector> selector_;
    routing::DomainReachability reach_;
    std::map<CallId, std::unique_ptr<ProxyRequest>> proxyRequests_;
    std::map<AttemptId, CallId> byAttempt_;
    CutAnswers cut_;
    std::map<ServiceName, ServiceState> services_;
    /** Who waits for money of each budget, in the order in which they came. */
    std::map<BudgetRef, std::set<CallId>> moneyLines_;
    /** Budgets with new money since the last event; tried only after it, as reserving may bring more. */
    std::set<BudgetRef> moneyArrived_;
    BackendId lastBackend_;
    std::uint64_t lastAttempt_ = 0;
    Instant nextMoneyRetry_ {};
};

/** Name of the one budget of an account that the fleet's configuration gives one. */
[[nodiscard]] const BudgetId& prepaidBudget();

} // namespace swiftlift::node
