#include "node/ProxyRequests.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] routing::SelectorSettings proxySelectorSettings(const CoreSettings& settings)
    {
        routing::SelectorSettings result;
        result.domain = settings.domain;
        result.seed = settings.seed;
        return result;
    }

    /** Spreads requests over a route's targets by what is new with each of them. */
    [[nodiscard]] std::uint64_t drawOf(const ProxyRequestInfo& facts) { return std::hash<std::string> {}(facts.id); }

} // namespace internal

const BudgetId& prepaidBudget()
{
    static const BudgetId name { "prepaid" };
    return name;
}

ProxyRequests::ProxyRequests(Context& context, const FleetDirectory& fleet, routing::BackendTable& backends,
    Ledgers& ledgers, QuarantineCoordinator& quarantine, std::function<std::uint32_t()> routers)
    : context_(context)
    , fleet_(fleet)
    , backends_(backends)
    , ledgers_(ledgers)
    , quarantine_(quarantine)
    , routers_(std::move(routers))
    , selector_(
          routing::makeSelector(context.settings().routingPolicy, internal::proxySelectorSettings(context.settings())))
{
    assert(selector_ != nullptr && "the settings' check lets only known policies through");
}

void ProxyRequests::refuseImmediately(CallId id, const ProxyRequestInfo& facts, std::string reason, std::string detail)
{
    const ProxyRefusal why { 503, std::move(reason), std::move(detail), notReadyRetry };
    logRefusal(why,
        LogLineBuilder("refuse")
            .with("request", facts.id)
            .with("outcome", "not_run")
            .with("after_ms", std::int64_t { 0 }));
    context_.emit(Reply { id, Outcome::NotRun, why.status, why.reason, why.detail, why.retryAfter, Tokens {} });
}

void ProxyRequests::arrive(CallId id, const ProxyRequestInfo& facts, Instant at)
{
    context_.count("swiftlift_requests_total");
    auto arrived = std::make_unique<ProxyRequest>();
    arrived->id = id;
    arrived->facts = facts;
    arrived->table = fleet_.routes();
    arrived->arrived = std::min(at, context_.now());
    ProxyRequest& passage = *proxyRequests_.emplace(id, std::move(arrived)).first->second;
    enter(passage, ProxyPhase::WaitingForMoney);
    if (!findRoute(passage) || !findAccount(passage) || !findService(passage) || refuseQuarantined(passage)) {
        return;
    }
    stateOf(passage).retries.onRequest(context_.now());
    seekMoney(passage);
}

bool ProxyRequests::findRoute(ProxyRequest& passage)
{
    passage.route = passage.table->find(passage.facts.host, passage.facts.path);
    if (passage.route == nullptr) {
        refuseAsUnknown(passage, { 404, "no_route", "no route for this host and path", std::nullopt });
        return false;
    }
    const fleet::Route& route = *passage.route;
    const Duration limit = std::min(passage.facts.deadline.value_or(route.timeLimit), route.timeLimit);
    passage.deadline = passage.arrived + limit;
    passage.urgency = route.urgency;
    if (passage.deadline - context_.now() < leastTimeLeft) {
        giveUp(passage, { 503, "deadline_too_short", "no time left when it was looked at", defaultRetryAfter });
        return false;
    }
    return true;
}

bool ProxyRequests::findAccount(ProxyRequest& passage)
{
    if (!passage.table->requiresKeys() || passage.route->open) {
        return true;
    }
    passage.account = passage.table->accountOf(passage.facts.key);
    if (passage.account == nullptr) {
        refuseAsUnknown(passage, { 401, "bad_key", "no account has this key", std::nullopt });
        return false;
    }
    passage.urgency = passage.account->urgency.value_or(passage.urgency);
    return true;
}

void ProxyRequests::refuseAsUnknown(ProxyRequest& passage, const ProxyRefusal& why)
{
    if (fleet_.confirmed()) {
        giveUp(passage, why);
        return;
    }
    // Callers don't come back after a 401 or 404, so these are for what is certain.
    giveUp(
        passage, { 503, "config_unconfirmed", why.reason + " by a configuration that may be old", defaultRetryAfter });
}

bool ProxyRequests::findService(ProxyRequest& passage)
{
    const ServiceName name = fleet::RouteTable::target(*passage.route, internal::drawOf(passage.facts));
    passage.service = passage.table->service(name);
    if (passage.service == nullptr) {
        giveUp(passage, { 503, "no_service", "the route names no service that is configured", defaultRetryAfter });
        return false;
    }
    if (passage.account != nullptr && passage.account->budget) {
        passage.cost = passage.facts.promptTokens + passage.facts.maxAnswerTokens;
    }
    return true;
}

// The status says that it has not run, and to whom it is due; the time, that asking again soon is in vain.
bool ProxyRequests::refuseQuarantined(ProxyRequest& passage)
{
    const auto request = passage.fingerprint();
    const auto confined = request ? quarantine_.quarantineEntry(*request) : std::nullopt;
    if (!confined) {
        return false;
    }
    giveUp(passage,
        { 429, "quarantined", std::to_string(confined->serversEnded) + " backend servers ended under it",
            confined->until - context_.now() });
    return true;
}

BudgetRef ProxyRequests::budgetOf(const ProxyRequest& passage) const
{
    return { passage.accountId(), prepaidBudget() };
}

RequestKey ProxyRequests::keyOf(const ProxyRequest& passage) const
{
    return { context_.self().value(), passage.id.value() };
}

void ProxyRequests::seekMoney(ProxyRequest& passage)
{
    if (passage.cost <= Tokens {}) {
        seekBackend(passage);
        return;
    }
    auto result = ledgers_.of(passage.accountId()).reserve(budgetOf(passage), keyOf(passage), passage.cost);
    if (auto* reservation = std::get_if<ledger::Reservation>(&result)) {
        passage.reservation = std::move(*reservation);
        leaveMoneyLine(passage);
        seekBackend(passage);
        return;
    }
    const auto& shortage = std::get<ledger::Shortage>(result);
    if (shortage.pending && context_.now() - passage.since < patienceForMoney(passage)) {
        moneyLines_[budgetOf(passage)].insert(passage.id);
        return;
    }
    // "The balance does not cover it" may be said only where it is certain. Money that is merely elsewhere may be here
    // a moment later, and a caller that is told to pay would not ask again.
    const bool exhausted = shortage.reason == ledger::ShortReason::BudgetExhausted;
    const Duration retryAfter = std::max(shortage.retryAfter, moneyRetryAfter);
    giveUp(passage,
        { exhausted ? 402 : 503, exhausted ? "budget_exhausted" : "budget_elsewhere",
            "may cost " + std::to_string(passage.cost.value()), retryAfter, knownOf(passage) });
}

// The load it answers: an outage in which loans go to and fro, and hardly any fits. What goes wrong with one patience
// for all: callers who want an answer within 200 ms are told no after 600. One notices by refusals that all come at
// that time. Once the objective has passed, the answer would be late whatever comes, and its caller is better told to
// come back.
Duration ProxyRequests::patienceForMoney(const ProxyRequest& passage) const
{
    return std::clamp<Duration>(passage.route->objective, leastMoneyPatience, moneyPatience);
}

KnownBudget ProxyRequests::knownOf(const ProxyRequest& passage) const
{
    const ShardLedger& shard = ledgers_.of(passage.accountId());
    const auto figures = shard.fold().budget(budgetOf(passage));
    return { figures.value_or(ledger::BudgetView {}), shard.fold().nextOffset(), shard.logInReach() };
}

void ProxyRequests::finishEvent()
{
    for (const BudgetRef& budget : std::exchange(moneyArrived_, {})) {
        spendArrived(budget);
    }
}

// What goes wrong when each that waits is tried at each arrival: with a hundred in line, every bill that is read and
// every answer that ends costs a hundred tries, the router has no time left to read its own draws, and the line grows.
// One notices by `read_to` that stands still while callers are refused.
void ProxyRequests::spendArrived(const BudgetRef& budget)
{
    const auto line = moneyLines_.find(budget);
    if (line == moneyLines_.end()) {
        return;
    }
    const ledger::Holder& holder = ledgers_.of(budget.account).holder();
    // Those who have waited longest come first; smaller ones behind them may still fit.
    const std::vector<CallId> waiting(line->second.begin(), line->second.end());
    Tokens most = holder.spendable(budget);
    for (const CallId id : waiting) {
        if (most <= Tokens {}) {
            return;
        }
        ProxyRequest* passage = find(id);
        if (passage == nullptr || passage->cost > most) {
            continue;
        }
        seekMoney(*passage);
        most = holder.spendable(budget);
    }
}

void ProxyRequests::retryForMoney()
{
    std::vector<CallId> waiting;
    for (const auto& [budget, line] : moneyLines_) {
        waiting.insert(waiting.end(), line.begin(), line.end());
    }
    for (const CallId id : waiting) {
        if (ProxyRequest* passage = find(id)) {
            seekMoney(*passage);
        }
    }
}

void ProxyRequests::leaveMoneyLine(const ProxyRequest& passage)
{
    const auto line = moneyLines_.find(budgetOf(passage));
    if (line == moneyLines_.end() || line->second.erase(passage.id) == 0) {
        return;
    }
    if (line->second.empty()) {
        moneyLines_.erase(line);
    }
}

void ProxyRequests::tick()
{
    expire();
    billUncounted();
    if (context_.now() >= nextMoneyRetry_) {
        nextMoneyRetry_ = context_.now() + moneyRetryPeriod;
        retryForMoney();
    }
    for (const auto& [service, state] : services_) {
        pump(service);
    }
}

void ProxyRequests::enter(ProxyRequest& passage, ProxyPhase phase)
{
    passage.phase = phase;
    passage.since = context_.now();
}

ProxyRequests::ServiceState& ProxyRequests::stateOf(const ProxyRequest& passage)
{
    return services_
        .try_emplace(passage.service->name,
            ServiceState { routing::Admission(maxWaiting), routing::RetryShare(context_.settings().retries) })
        .first->second;
}

ProxyRequest* ProxyRequests::find(CallId id)
{
    const auto found = proxyRequests_.find(id);
    return found == proxyRequests_.end() ? nullptr : found->second.get();
}

ProxyRequest* ProxyRequests::ofAttempt(AttemptId attempt)
{
    const auto found = byAttempt_.find(attempt);
    return found == byAttempt_.end() ? nullptr : find(found->second);
}

} // namespace swiftlift::node
