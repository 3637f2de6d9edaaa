#include "node/Requests.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace swiftlift::node {

using request::Arrival;
using request::Outcome;

namespace internal {

    [[nodiscard]] routing::SelectorSettings selectorSettings(const CoreSettings& settings)
    {
        routing::SelectorSettings result;
        result.domain = settings.domain;
        result.seed = settings.seed;
        return result;
    }

} // namespace internal

Requests::Requests(Context& context, Services& services, routing::BackendTable& backends, ShardFinder shards,
    UnservedListener unserved)
    : context_(context)
    , services_(services)
    , backends_(backends)
    , shards_(std::move(shards))
    , unserved_(std::move(unserved))
    , selector_(routing::makeSelector(context.settings().routingPolicy, internal::selectorSettings(context.settings())))
{
    assert(selector_ != nullptr && "the settings' check lets only known policies through");
}

void Requests::refuseImmediately(CallId id, const CallerRequest& request, const GivingUp& why)
{
    const bool firstAttempt = request.attempt <= 1 && table_.find(request.key) == nullptr && !inDoubt();
    const Outcome outcome = firstAttempt ? Outcome::NotRun : Outcome::Unknown;
    context_.log(LogLineBuilder("refuse")
                     .with("request", request.id.value())
                     .with("account", request.account.value())
                     .with("service", request.service.value())
                     .with("outcome", toText(outcome))
                     .with("reason", why.reason)
                     .with("detail", why.detail));
    context_.count("swiftlift_refusals_total", { { "reason", why.reason } });
    context_.emit(Reply { id, outcome, why.status, why.reason, why.detail, why.retryAfter, Tokens {} });
}

void Requests::arrive(CallId id, CallerRequest request)
{
    auto call = std::make_unique<Call>();
    call->id = id;
    call->request = std::move(request);
    call->arrived = context_.now();
    context_.count("swiftlift_requests_total");
    if (!checkRequest(*call)) {
        return;
    }
    const CallerRequest& facts = call->request;
    if (const Arrival arrival = table_.arrive(facts.key, id, facts.attempt, facts.idempotent);
        arrival != Arrival::Proceed) {
        refuseDuplicate(*call, arrival);
        return;
    }
    if (inDoubt()) {
        table_.markHistoryUnknown(facts.key);
    }
    byKey_[facts.key] = id;
    Call& placed = *calls_.emplace(id, std::move(call)).first->second;
    stateOf(placed).retries.onFirstAttempt(context_.now());
    enter(placed, Phase::WaitingForMoney);
    // Whom the ledger has refused already need not wait for money first.
    if (!endByKnownClaim(placed)) {
        seekMoney(placed);
    }
}

bool Requests::checkRequest(Call& call)
{
    const CallerRequest& request = call.request;
    const auto account = shards_(request.account).fold().account(request.account);
    if (!account || account->closed || account->keyHash != request.keyHash) {
        refuseImmediately(call.id, request, { 401, "bad_key", "no such open account, or another key", std::nullopt });
        return false;
    }
    call.service = services_.find(request.service);
    if (call.service == nullptr) {
        refuseImmediately(call.id, request, { 404, "unknown_service", "no such service", std::nullopt });
        return false;
    }
    const auto& uses = call.service->accounts;
    const auto use = std::find_if(
        uses.begin(), uses.end(), [&](const auto& candidate) { return candidate.account == request.account; });
    if (use == uses.end()) {
        refuseImmediately(call.id, request, { 404, "unknown_service", "not open to this account", std::nullopt });
        return false;
    }
    call.use = *use;
    return checkLimits(call);
}

bool Requests::checkLimits(Call& call)
{
    const CallerRequest& request = call.request;
    const settings::Limits& limits = call.service->limits;
    if (request.body.size() > limits.maxBodyBytes) {
        refuseImmediately(call.id, request, { 413, "body_too_large", "over the service's limit", std::nullopt });
        return false;
    }
    if (call.isModel()) {
        const bool promptFits = request.promptTokens <= limits.maxPromptTokens;
        const bool answerFits
            = request.maxAnswerTokens > Tokens {} && request.maxAnswerTokens <= limits.maxAnswerTokens;
        if (!promptFits || !answerFits) {
            refuseImmediately(
                call.id, request, { 400, "bad_request", "prompt or max_tokens outside the limits", std::nullopt });
            return false;
        }
        call.cost = request.promptTokens + request.maxAnswerTokens;
    } else {
        call.cost = limits.callCost;
    }
    call.deadline = call.arrived + request.deadline.value_or(limits.deadline);
    return true;
}

void Requests::refuseDuplicate(const Call& call, Arrival arrival)
{
    const CallerRequest& request = call.request;
    if (arrival == Arrival::InProgress) {
        context_.emit(Reply { call.id, Outcome::Unknown, 409, "in_progress", "the same request is in progress here",
            defaultRetryAfter, Tokens {} });
        return;
    }
    const request::Record* record = table_.find(request.key);
    const bool notRun = record->ended == Outcome::NotRun;
    const char* reason = notRun ? "voided" : "already_answered";
    context_.emit(Reply { call.id, notRun ? Outcome::NotRun : Outcome::Unknown, 409, reason,
        notRun ? "will never run under this id: use a new one" : "ended before: " + record->reason, std::nullopt,
        record->billed });
}

void Requests::enter(Call& call, Phase phase)
{
    call.phase = phase;
    call.since = context_.now();
}

void Requests::seekMoney(Call& call)
{
    if (call.cost <= Tokens {}) {
        seekClaim(call);
        return;
    }
    const BudgetRef budget { call.request.account, call.use.budget };
    auto result = shards_(call.request.account).reserve(budget, call.request.key, call.cost);
    if (auto* reservation = std::get_if<ledger::Reservation>(&result)) {
        call.reservation = std::move(*reservation);
        seekClaim(call);
        return;
    }
    const auto& shortage = std::get<ledger::Shortage>(result);
    const bool outOfPatience = context_.now() - call.since >= moneyPatience;
    if (shortage.pending && !outOfPatience) {
        return;
    }
    const bool exhausted = shortage.reason == ledger::ShortReason::BudgetExhausted;
    giveUp(call,
        { 402, exhausted ? "budget_exhausted" : "budget_elsewhere", "short of " + std::to_string(call.cost.value()),
            shortage.retryAfter });
}

void Requests::seekClaim(Call& call)
{
    if (call.request.idempotent) {
        seekBackend(call);
        return;
    }
    if (!shards_(call.request.account).logInReach()) {
        giveUp(call, { 503, "claim_unavailable", "the platform's log can't be reached", defaultRetryAfter });
        return;
    }
    if (endByKnownClaim(call)) {
        return;
    }
    enter(call, Phase::WaitingForClaim);
    table_.claimSent(call.request.key);
    shards_(call.request.account).append(ledger::Claim { call.request.key });
}

bool Requests::endByKnownClaim(Call& call)
{
    const auto owner = shards_(call.request.account).fold().claimOwner(call.request.key);
    if (call.request.idempotent || !owner) {
        return false;
    }
    // What goes wrong: this router claimed the key, ran the request and has forgotten it since; a retry that took the
    // claim for its own would run it twice. So only a claim that this very request sent counts as ours.
    table_.claimFound(call.request.key, *owner);
    decideClaim(call, *owner, false);
    return true;
}

void Requests::onClaimDecided(const RequestKey& key, Incarnation owner)
{
    table_.claimDecided(key, owner, context_.self());
    const auto found = byKey_.find(key);
    Call* call = found == byKey_.end() ? nullptr : find(found->second);
    if (call != nullptr && call->phase == Phase::WaitingForClaim) {
        decideClaim(*call, owner, owner == context_.self());
    }
}

void Requests::decideClaim(Call& call, Incarnation owner, bool ours)
{
    if (ours) {
        seekBackend(call);
    } else if (owner == Incarnation {}) {
        giveUp(call, { 409, "voided", "will never run under this id: use a new one", std::nullopt });
    } else {
        giveUp(call, { 409, "claimed_elsewhere", "router " + toHex(owner.value()) + " has it", defaultRetryAfter });
    }
}

void Requests::onSelfPaused()
{
    // What goes wrong: callers lose patience with a paused router and ask elsewhere, where their requests run. Waking
    // up, this router finds them in its buffers, refuses them, and says "not run" of what has run. One notices by a
    // refusal that comes after the answer. So it vouches for nothing that may have waited here during the pause.
    doubtUntil_ = context_.now() + pauseDoubt;
    table_.markInProgressHistoryUnknown();
}

bool Requests::inDoubt() const { return doubtUntil_ && context_.now() < *doubtUntil_; }

void Requests::callerDisconnected(CallId id)
{
    Call* call = find(id);
    if (call == nullptr) {
        return;
    }
    if (call->phase == Phase::SecuringBill) {
        end(*call, Outcome::Answered, "answered", call->billed);
        return;
    }
    const Tokens spent = spentSoFar(*call);
    cancelAttempt(*call);
    settle(*call, spent);
    context_.log(LogLineBuilder("caller_gone")
                     .with("request", call->request.id.value())
                     .with("account", call->request.account.value())
                     .with("billed", spent.value()));
    const Outcome outcome = table_.outcomeIfGivenUp(call->request.key);
    end(*call, outcome, "caller_gone", spent);
}

void Requests::onTokensAvailable(const BudgetRef& budget) { moneyArrived_.insert(budget); }

void Requests::finishEvent()
{
    answerSecured();
    const auto arrived = std::exchange(moneyArrived_, {});
    if (arrived.empty()) {
        return;
    }
    retryForMoney([&](const Call& call) {
        return arrived.contains(BudgetRef { call.request.account, call.use.budget });
    });
}

void Requests::retryForMoney(const std::function<bool(const Call&)>& wanted)
{
    std::vector<CallId> waiting;
    for (const auto& [id, call] : calls_) {
        if (call->phase == Phase::WaitingForMoney && wanted(*call)) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        if (Call* call = find(id)) {
            seekMoney(*call);
        }
    }
}

void Requests::tick()
{
    expire();
    if (context_.now() >= nextMoneyRetry_) {
        nextMoneyRetry_ = context_.now() + moneyRetryPeriod;
        retryForMoney([](const Call&) { return true; });
    }
    pumpAll();
    context_.gauge("swiftlift_requests_in_progress", static_cast<double>(calls_.size()));
}

Requests::ServiceState& Requests::stateOf(const Call& call)
{
    const settings::ServiceDocument& document = *call.service;
    auto [state, isNew] = serviceStates_.try_emplace(document.service,
        ServiceState {
            routing::Admission(document.limits.maxWaiting), routing::RetryBudget(document.retry.budgetPercent) });
    if (!isNew) {
        state->second.admission.queue().setMaxWaiting(document.limits.maxWaiting);
        state->second.retries.setPercent(document.retry.budgetPercent);
    }
    return state->second;
}

Call* Requests::find(CallId id)
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second.get();
}

} // namespace swiftlift::node
