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

Requests::Requests(Context& context, Services& services, routing::BackendTable& backends, BackendLinks& links,
    ShardFinder shards, UnservedListener unserved)
    : context_(context)
    , services_(services)
    , backends_(backends)
    , links_(links)
    , shards_(std::move(shards))
    , unservedListener_(std::move(unserved))
    , selector_(routing::makeSelector(context.settings().routingPolicy, internal::selectorSettings(context.settings())))
{
    assert(selector_ != nullptr && "the settings' check accepts only known routing policies");
}

void Requests::refuseImmediately(CallId id, const CallerRequest& request, const Refusal& refusal)
{
    const bool firstAttempt = request.attempt <= 1 && table_.find(request.key) == nullptr && !isHistoryUnknown();
    const Outcome outcome = firstAttempt ? Outcome::NotRun : Outcome::Unknown;
    context_.log(LogLineBuilder("refuse")
                     .with("request", request.id.value())
                     .with("account", request.account.value())
                     .with("service", request.service.value())
                     .with("outcome", toText(outcome))
                     .with("reason", refusal.reason)
                     .with("detail", refusal.detail));
    context_.count("swiftlift_refusals_total", { { "reason", refusal.reason } });
    context_.emit(Reply { id, outcome, refusal.status, refusal.reason, refusal.detail, refusal.retryAfter, Tokens {} });
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
    if (isHistoryUnknown()) {
        table_.markHistoryUnknown(facts.key);
    }
    callByKey_[facts.key] = id;
    Call& inserted = *calls_.emplace(id, std::move(call)).first->second;
    serviceState(inserted).retries.onFirstAttempt(context_.now());
    enterPhase(inserted, CallPhase::WaitingForTokens);
    // A request whose key is already claimed or voided is refused without waiting for tokens.
    if (!refuseIfClaimed(inserted)) {
        reserveTokens(inserted);
    }
}

bool Requests::checkRequest(Call& call)
{
    const CallerRequest& request = call.request;
    const auto account = shards_(request.account).fold().account(request.account);
    if (!account || account->closed || account->keyHash != request.keyHash) {
        refuseImmediately(call.id, request, { 401, "bad_key", "no open account with this id and key", std::nullopt });
        return false;
    }
    call.service = services_.find(request.service);
    if (call.service == nullptr) {
        refuseImmediately(call.id, request, { 404, "unknown_service", "no such service", std::nullopt });
        return false;
    }
    const auto& uses = call.service->accounts;
    const auto accountUse = std::find_if(
        uses.begin(), uses.end(), [&](const auto& candidate) { return candidate.account == request.account; });
    if (accountUse == uses.end()) {
        refuseImmediately(
            call.id, request, { 404, "unknown_service", "the service is not open to this account", std::nullopt });
        return false;
    }
    call.accountUse = *accountUse;
    return checkLimits(call);
}

bool Requests::checkLimits(Call& call)
{
    const CallerRequest& request = call.request;
    const settings::Limits& limits = call.service->limits;
    if (request.body.size() > limits.maxBodyBytes) {
        refuseImmediately(
            call.id, request, { 413, "body_too_large", "the body is over the service's limit", std::nullopt });
        return false;
    }
    if (call.isModel()) {
        const bool promptFits = request.promptTokens <= limits.maxPromptTokens;
        const bool answerFits
            = request.maxAnswerTokens > Tokens {} && request.maxAnswerTokens <= limits.maxAnswerTokens;
        if (!promptFits || !answerFits) {
            refuseImmediately(call.id, request,
                { 400, "bad_request", "prompt or max_tokens outside the service's limits", std::nullopt });
            return false;
        }
        call.maxCost = request.promptTokens + request.maxAnswerTokens;
    } else {
        call.maxCost = limits.callCost;
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
        notRun ? "the request will never run under this id: use a new id"
               : "the request ended before: " + record->reason,
        std::nullopt, record->billed });
}

void Requests::enterPhase(Call& call, CallPhase phase)
{
    call.phase = phase;
    call.phaseStart = context_.now();
}

void Requests::reserveTokens(Call& call)
{
    if (call.maxCost <= Tokens {}) {
        requestClaim(call);
        return;
    }
    const BudgetRef budget { call.request.account, call.accountUse.budget };
    auto result = shards_(call.request.account).reserve(budget, call.request.key, call.maxCost);
    if (auto* reservation = std::get_if<ledger::Reservation>(&result)) {
        call.reservation = std::move(*reservation);
        requestClaim(call);
        return;
    }
    const auto& shortage = std::get<ledger::Shortage>(result);
    const bool waitedTooLong = context_.now() - call.phaseStart >= maxTokenWait;
    if (shortage.pending && !waitedTooLong) {
        return;
    }
    const bool exhausted = shortage.reason == ledger::ShortReason::BudgetExhausted;
    refuse(call,
        { 402, exhausted ? "budget_exhausted" : "budget_elsewhere",
            "maximum cost in tokens: " + std::to_string(call.maxCost.value()), shortage.retryAfter });
}

void Requests::requestClaim(Call& call)
{
    if (call.request.idempotent) {
        selectBackend(call);
        return;
    }
    if (!shards_(call.request.account).logInReach()) {
        refuse(call, { 503, "claim_unavailable", "the platform's log can't be reached", defaultRetryAfter });
        return;
    }
    if (refuseIfClaimed(call)) {
        return;
    }
    enterPhase(call, CallPhase::WaitingForClaim);
    table_.claimSent(call.request.key);
    shards_(call.request.account).append(ledger::Claim { call.request.key });
}

bool Requests::refuseIfClaimed(Call& call)
{
    const auto owner = shards_(call.request.account).fold().claimOwner(call.request.key);
    if (call.request.idempotent || !owner) {
        return false;
    }
    // Only a claim that this call itself appended counts as its own. This router may have claimed the key for an
    // earlier attempt and forgotten the request since; a retry that took over that claim would run the request twice.
    table_.claimFound(call.request.key, *owner);
    decideClaim(call, *owner, false);
    return true;
}

void Requests::onClaimDecided(const RequestKey& key, Incarnation owner)
{
    table_.claimDecided(key, owner, context_.self());
    const auto found = callByKey_.find(key);
    Call* call = found == callByKey_.end() ? nullptr : find(found->second);
    if (call != nullptr && call->phase == CallPhase::WaitingForClaim) {
        decideClaim(*call, owner, owner == context_.self());
    }
}

void Requests::decideClaim(Call& call, Incarnation owner, bool ownClaim)
{
    if (ownClaim) {
        selectBackend(call);
    } else if (owner == Incarnation {}) {
        refuse(call, { 409, "voided", "the request will never run under this id: use a new id", std::nullopt });
    } else {
        refuse(call,
            { 409, "claimed_elsewhere", "router " + toHex(owner.value()) + " has claimed the request",
                defaultRetryAfter });
    }
}

void Requests::onSelfPaused()
{
    // While a router is paused, its callers time out and retry at other routers, where their requests run. The paused
    // router then still has these requests in its buffers. If it refused them as "not run" the statement would be
    // false; the symptom is a refusal that arrives after the answer. So requests that may have been buffered during the
    // pause count as requests of unknown history.
    historyUnknownUntil_ = context_.now() + unknownHistoryPeriod;
    table_.markInProgressHistoryUnknown();
}

bool Requests::isHistoryUnknown() const { return historyUnknownUntil_ && context_.now() < *historyUnknownUntil_; }

void Requests::callerDisconnected(CallId id)
{
    Call* call = find(id);
    if (call == nullptr) {
        return;
    }
    if (call->phase == CallPhase::SecuringBill) {
        end(*call, Outcome::Answered, "answered", call->billed);
        return;
    }
    const Tokens spent = forwardedTokens(*call);
    cancelAttempt(*call);
    settle(*call, spent);
    context_.log(LogLineBuilder("caller_gone")
                     .with("request", call->request.id.value())
                     .with("account", call->request.account.value())
                     .with("billed", spent.value()));
    const Outcome outcome = table_.outcomeIfGivenUp(call->request.key);
    end(*call, outcome, "caller_gone", spent);
}

void Requests::onTokensAvailable(const BudgetRef& budget) { replenishedBudgets_.insert(budget); }

void Requests::finishEvent()
{
    answerBilledCalls();
    const auto arrived = std::exchange(replenishedBudgets_, {});
    if (arrived.empty()) {
        return;
    }
    retryTokenReservations([&](const Call& call) {
        return arrived.contains(BudgetRef { call.request.account, call.accountUse.budget });
    });
}

void Requests::retryTokenReservations(const std::function<bool(const Call&)>& matches)
{
    std::vector<CallId> waiting;
    for (const auto& [id, call] : calls_) {
        if (call->phase == CallPhase::WaitingForTokens && matches(*call)) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        if (Call* call = find(id)) {
            reserveTokens(*call);
        }
    }
}

void Requests::tick()
{
    expire();
    if (context_.now() >= nextTokenRetry_) {
        nextTokenRetry_ = context_.now() + tokenRetryPeriod;
        retryTokenReservations([](const Call&) { return true; });
    }
    dispatchAllWaiting();
    context_.gauge("swiftlift_requests_in_progress", static_cast<double>(calls_.size()));
}

Requests::ServiceState& Requests::serviceState(const Call& call)
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
