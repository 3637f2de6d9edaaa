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

    [[nodiscard]] routing::EndKind toEndKind(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::Completed:
            return routing::EndKind::Completed;
        case AttemptEnd::NotStarted:
            return routing::EndKind::NotStarted;
        case AttemptEnd::Leaving:
            return routing::EndKind::Leaving;
        case AttemptEnd::Broken:
            return routing::EndKind::Broken;
        }
        return routing::EndKind::Broken;
    }

    [[nodiscard]] const char* toText(Outcome outcome)
    {
        switch (outcome) {
        case Outcome::Answered:
            return "answered";
        case Outcome::NotRun:
            return "not_run";
        case Outcome::Unknown:
            return "unknown";
        }
        return "unknown";
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

void Requests::refuseAtOnce(CallId id, const CallerRequest& request, const GivingUp& why)
{
    const bool firstAttempt = request.attempt <= 1 && table_.find(request.key) == nullptr && !inDoubt();
    const Outcome outcome = firstAttempt ? Outcome::NotRun : Outcome::Unknown;
    context_.log(Line("refuse")
                     .with("request", request.id.value())
                     .with("account", request.account.value())
                     .with("service", request.service.value())
                     .with("outcome", internal::toText(outcome))
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
        table_.doubt(facts.key);
    }
    byKey_[facts.key] = id;
    Call& placed = *calls_.emplace(id, std::move(call)).first->second;
    stateOf(placed).retries.onFirstAttempt(context_.now());
    enter(placed, Phase::WaitingForMoney);
    seekMoney(placed);
}

bool Requests::checkRequest(Call& call)
{
    const CallerRequest& request = call.request;
    const auto account = shards_(request.account).fold().account(request.account);
    if (!account || account->closed || account->keyHash != request.keyHash) {
        refuseAtOnce(call.id, request, { 401, "bad_key", "no such open account, or another key", std::nullopt });
        return false;
    }
    call.service = services_.find(request.service);
    if (call.service == nullptr) {
        refuseAtOnce(call.id, request, { 404, "unknown_service", "no such service", std::nullopt });
        return false;
    }
    const auto& uses = call.service->accounts;
    const auto use = std::find_if(
        uses.begin(), uses.end(), [&](const auto& candidate) { return candidate.account == request.account; });
    if (use == uses.end()) {
        refuseAtOnce(call.id, request, { 404, "unknown_service", "not open to this account", std::nullopt });
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
        refuseAtOnce(call.id, request, { 413, "body_too_large", "over the service's limit", std::nullopt });
        return false;
    }
    if (call.isModel()) {
        const bool promptFits = request.promptTokens <= limits.maxPromptTokens;
        const bool answerFits
            = request.maxAnswerTokens > Tokens {} && request.maxAnswerTokens <= limits.maxAnswerTokens;
        if (!promptFits || !answerFits) {
            refuseAtOnce(
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
    ShardLedger& shard = shards_(call.request.account);
    if (const auto owner = shard.fold().claimOwner(call.request.key)) {
        // What goes wrong: this router claimed the key, ran the request and has forgotten it since; a retry that took
        // the claim for its own would run it twice. So only a claim that this very request sent counts as ours.
        table_.claimFound(call.request.key, *owner);
        decideClaim(call, *owner, false);
        return;
    }
    enter(call, Phase::WaitingForClaim);
    table_.claimSent(call.request.key);
    shard.append(ledger::Claim { call.request.key });
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

routing::SelectRequest Requests::selectRequest(const Call& call) const
{
    routing::SelectRequest request;
    request.service = call.request.service;
    request.model = call.service->model;
    request.prefixHash = call.request.prefixHash;
    request.promptTokens = call.request.promptTokens;
    request.priority = call.request.priority;
    request.idempotent = call.request.idempotent;
    request.excluded = call.excluded;
    return request;
}

routing::WaitingCall Requests::waitingCall(const Call& call) const
{
    return { call.id, call.request.account, call.use.weight, call.cost, call.request.priority, call.deadline };
}

void Requests::seekBackend(Call& call)
{
    enter(call, Phase::WaitingForBackend);
    const auto choice = selector_->choose(selectRequest(call), backends_, context_.now());
    if (!choice && selector_->noChoice() == routing::NoChoice::NoBackend) {
        unserved_(call.service->model);
        giveUp(call, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        return;
    }
    const auto predicted
        = choice ? std::optional<Duration> { choice->predictedFirstToken } : std::optional<Duration> {};
    const auto verdict = stateOf(call).admission.admit(waitingCall(call), predicted, context_.now());
    if (admitted(call, verdict) && choice) {
        dispatch(call, *choice);
    }
}

bool Requests::admitted(Call& call, const routing::Admitted& verdict)
{
    const CallId id = call.id;
    for (const CallId displaced : verdict.displaced) {
        if (Call* loser = find(displaced)) {
            giveUp(*loser, { 429, "account_over_share", "gave way to accounts below their share", defaultRetryAfter });
        }
    }
    if (verdict.verdict != routing::Verdict::Refuse) {
        return verdict.verdict == routing::Verdict::Dispatch;
    }
    const bool overShare = verdict.refusal == routing::AdmissionRefusal::AccountOverShare;
    if (Call* refused = find(id)) {
        giveUp(
            *refused, { overShare ? 429 : 503, routing::toText(verdict.refusal), verdict.detail, verdict.retryAfter });
    }
    return false;
}

void Requests::pump(const ServiceName& service)
{
    const auto state = serviceStates_.find(service);
    if (state == serviceStates_.end()) {
        return;
    }
    routing::FairQueue& waiting = state->second.admission.queue();
    while (const auto next = waiting.peek()) {
        Call* call = find(next->call);
        if (call == nullptr) {
            waiting.remove(next->call);
            continue;
        }
        const auto choice = selector_->choose(selectRequest(*call), backends_, context_.now());
        if (!choice && selector_->noChoice() != routing::NoChoice::NoBackend) {
            return;
        }
        (void)waiting.pop(context_.now());
        if (choice) {
            dispatch(*call, *choice);
        } else {
            unserved_(call->service->model);
            giveUp(*call, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        }
    }
}

void Requests::pumpAll()
{
    for (const auto& [service, state] : serviceStates_) {
        pump(service);
    }
}

void Requests::dispatch(Call& call, const routing::Choice& choice)
{
    const RequestKey& key = call.request.key;
    if (!table_.mayDispatch(key)) {
        giveUp(call, { 409, "may_not_run", "another run can't be ruled out", defaultRetryAfter });
        return;
    }
    table_.dispatched(key);
    enter(call, Phase::Running);
    call.attempt = AttemptId { ++lastAttempt_ };
    call.backend = choice.backend;
    ++call.attemptsMade;
    byAttempt_[call.attempt] = call.id;
    backends_.onDispatched(
        choice.backend, call.attempt, { call.request.prefixHash, call.request.promptTokens }, context_.now());
    Line line("route");
    line.with("request", call.request.id.value())
        .with("account", call.request.account.value())
        .with("service", call.request.service.value())
        .with("backend", choice.backend.value())
        .with("attempt", static_cast<std::int64_t>(call.attemptsMade))
        .with("resume_from", call.delivered.value())
        .with("waited_ms", toMilliseconds(context_.now() - call.arrived))
        .with("predicted_first_token_ms", toMilliseconds(choice.predictedFirstToken))
        .with("reason", choice.reason);
    std::string others;
    for (const auto& alternative : choice.alternatives) {
        others += (others.empty() ? "" : " ") + alternative.backend.value() + '='
            + std::to_string(toMilliseconds(alternative.predictedFirstToken)) + "ms";
    }
    context_.log(line.with("alternatives", others));
    const BackendKind kind = call.isModel() ? BackendKind::Model : BackendKind::Plain;
    context_.emit(Dispatch { call.id, call.attempt, choice.backend, kind, key, call.request.priority, call.request.body,
        call.delivered, call.service->limits.silence });
}

void Requests::onProgress(const AttemptProgress& progress)
{
    const auto found = byAttempt_.find(progress.attempt);
    if (found == byAttempt_.end()) {
        return;
    }
    Call* call = find(found->second);
    call->delivered = std::max(call->delivered, progress.answerTokens);
    observeFirstToken(*call);
}

void Requests::observeFirstToken(Call& call)
{
    if (call.firstToken) {
        return;
    }
    call.firstToken = context_.now();
    backends_.onFirstToken(call.backend, call.attempt, context_.now());
    stateOf(call).admission.onFirstToken(context_.now() - call.since);
}

void Requests::onAttemptEnded(const AttemptEnded& ended)
{
    const auto found = byAttempt_.find(ended.attempt);
    if (found == byAttempt_.end()) {
        // A late word on an attempt that was given up: its caller has its final answer already.
        return;
    }
    Call& call = *find(found->second);
    const ServiceName service = call.request.service;
    call.delivered = std::max(call.delivered, ended.answerTokens);
    finishAttempt(call, ended.end, &ended);
    if (ended.end == AttemptEnd::Completed) {
        complete(call, ended);
    } else {
        tryElsewhere(call, ended);
    }
    pump(service);
}

void Requests::finishAttempt(Call& call, AttemptEnd end, const AttemptEnded* facts)
{
    table_.attemptEnded(call.request.key, end);
    routing::FinishFacts finish { internal::toEndKind(end), Tokens {}, Tokens {} };
    if (facts != nullptr) {
        finish.promptTokens = facts->promptTokens;
        finish.cachedPromptTokens = facts->cachedPromptTokens;
    }
    backends_.onFinished(call.backend, call.attempt, finish, context_.now());
    byAttempt_.erase(call.attempt);
    call.excluded.insert(call.backend);
    call.attempt = AttemptId {};
}

void Requests::complete(Call& call, const AttemptEnded& ended)
{
    call.billed = call.isModel() ? call.request.promptTokens + call.delivered : call.cost;
    if (call.reservation) {
        call.billedGrant = call.reservation->grant;
        call.answersAlone = shards_(call.request.account).answersAlone(*call.reservation);
    }
    call.billSequence = settle(call, call.billed);
    context_.log(Line("answered")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("backend", call.backend.value())
                     .with("billed", call.billed.value())
                     .with("cached_prompt_tokens", ended.cachedPromptTokens.value())
                     .with("took_ms", toMilliseconds(context_.now() - call.arrived)));
    context_.count("swiftlift_billed_tokens_total", { { "account", call.request.account.value() } },
        static_cast<double>(call.billed.value()));
    enter(call, Phase::SecuringBill);
    if (call.billSequence == 0) {
        answer(call, true);
    } else {
        shards_(call.request.account).flush();
    }
}

void Requests::answerSecured()
{
    std::vector<CallId> waiting;
    for (const auto& [id, call] : calls_) {
        if (call->phase == Phase::SecuringBill) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        Call& call = *find(id);
        const Duration waited = context_.now() - call.since;
        const BillState state
            = shards_(call.request.account).billState(call.billSequence, call.billedGrant, call.answersAlone);
        if (state == BillState::Secured) {
            answer(call, true);
        } else if (state == BillState::Alone && waited >= billPatience) {
            answer(call, false);
        } else if (state == BillState::Refused || (state == BillState::Pending && waited >= billDecisionPatience)) {
            refuseBill(call);
        }
    }
}

void Requests::refuseBill(Call& call)
{
    // What goes wrong otherwise: this process slept, its witness freed what it had not billed, and the tokens of this
    // answer were sold again. The caller is told that the outcome is unknown, as for any answer that broke off.
    table_.attemptEnded(call.request.key, AttemptEnd::Broken);
    giveUp(call, { 502, "bill_refused", "the bill could not be entered in the ledger", defaultRetryAfter });
}

void Requests::answer(Call& call, bool secured)
{
    if (!secured) {
        // The bill is in this process alone: should it die before the log is back, the request stays unbilled. The
        // account can't overspend by it, since the grant stays held; the caller is not made to wait for the platform.
        context_.log(Line("bill_unsecured").with("request", call.request.id.value()));
        context_.count("swiftlift_bills_unsecured_total");
    }
    // A retry of a request that was billed before, elsewhere or when its caller went away, costs what it cost then.
    const auto earlier = shards_(call.request.account).fold().billed(call.request.key);
    call.billed = earlier.value_or(call.billed);
    Reply reply;
    reply.call = call.id;
    reply.outcome = Outcome::Answered;
    reply.billed = call.billed;
    context_.emit(std::move(reply));
    end(call, Outcome::Answered, "answered", call.billed);
}

void Requests::tryElsewhere(Call& call, const AttemptEnded& ended)
{
    context_.log(Line("attempt_failed")
                     .with("request", call.request.id.value())
                     .with("backend", call.backend.value())
                     .with("not_started", ended.end != AttemptEnd::Broken)
                     .with("delivered", call.delivered.value())
                     .with("detail", ended.detail));
    if (!table_.mayDispatch(call.request.key)) {
        giveUp(call, { 502, "backend_lost", ended.detail, std::nullopt });
        return;
    }
    if (call.attemptsMade >= call.service->retry.attempts) {
        giveUp(call, { 503, "no_backend", "all attempts failed: " + ended.detail, defaultRetryAfter });
        return;
    }
    routing::RetryBudget& retries = stateOf(call).retries;
    // A backend server that did not start the request has done no work: sending it on adds no load worth bounding.
    if (ended.end == AttemptEnd::Broken && !retries.tryRetry(context_.now())) {
        giveUp(call, { 429, "retry_budget", "too many retries of late", retries.retryAfter(context_.now()) });
        return;
    }
    seekBackend(call);
}

void Requests::onSelfPaused()
{
    // What goes wrong: callers lose patience with a paused router and ask elsewhere, where their requests run. Waking
    // up, this router finds them in its buffers, refuses them, and says "not run" of what has run. One notices by a
    // refusal that comes after the answer. So it vouches for nothing that may have waited here during the pause.
    doubtUntil_ = context_.now() + pauseDoubt;
    table_.doubtInProgress();
}

bool Requests::inDoubt() const { return doubtUntil_ && context_.now() < *doubtUntil_; }

void Requests::callerGone(CallId id)
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
    context_.log(Line("caller_gone")
                     .with("request", call->request.id.value())
                     .with("account", call->request.account.value())
                     .with("billed", spent.value()));
    const Outcome outcome = table_.outcomeIfGivenUp(call->request.key);
    end(*call, outcome, "caller_gone", spent);
}

void Requests::cancelAttempt(Call& call)
{
    if (call.phase != Phase::Running || call.attempt == AttemptId {}) {
        return;
    }
    context_.emit(CancelAttempt { call.attempt });
    backends_.onFinished(
        call.backend, call.attempt, { routing::EndKind::Cancelled, Tokens {}, Tokens {} }, context_.now());
    table_.attemptEnded(call.request.key, AttemptEnd::Broken);
    byAttempt_.erase(call.attempt);
    call.attempt = AttemptId {};
}

Tokens Requests::spentSoFar(const Call& call) const
{
    if (!call.isModel() || call.delivered == Tokens {}) {
        return Tokens {};
    }
    return call.request.promptTokens + call.delivered;
}

std::uint64_t Requests::settle(Call& call, Tokens actual)
{
    if (!call.reservation) {
        return 0;
    }
    ShardLedger& shard = shards_(call.request.account);
    std::uint64_t sequence = 0;
    if (actual > Tokens {}) {
        sequence = shard.settle(*call.reservation, std::min(actual, call.reservation->amount));
    } else {
        shard.release(*call.reservation);
    }
    call.reservation.reset();
    return sequence;
}

void Requests::giveUp(Call& call, const GivingUp& why)
{
    cancelAttempt(call);
    const Outcome outcome = table_.outcomeIfGivenUp(call.request.key);
    // What goes wrong otherwise: the part that was streamed is billed, the caller asks again, and the ledger keeps that
    // first bill while the answer names the whole one. A request that the fleet gave up costs nothing.
    settle(call, Tokens {});
    context_.log(Line("refuse")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("service", call.request.service.value())
                     .with("outcome", internal::toText(outcome))
                     .with("reason", why.reason)
                     .with("detail", why.detail)
                     .with("after_ms", toMilliseconds(context_.now() - call.arrived)));
    context_.count("swiftlift_refusals_total", { { "reason", why.reason } });
    context_.emit(Reply { call.id, outcome, why.status, why.reason, why.detail, why.retryAfter, Tokens {} });
    end(call, outcome, why.reason, Tokens {});
}

void Requests::end(Call& call, Outcome outcome, const std::string& reason, Tokens billed)
{
    const RequestKey key = call.request.key;
    if (table_.end(key, outcome, reason, billed)) {
        shards_(call.request.account).append(ledger::VoidClaim { key });
    }
    stateOf(call).admission.queue().remove(call.id);
    byKey_.erase(key);
    calls_.erase(call.id);
}

void Requests::onMoneyArrived(const BudgetRef& budget) { moneyArrived_.insert(budget); }

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

void Requests::expire()
{
    std::vector<std::pair<CallId, GivingUp>> over;
    for (auto& [service, state] : serviceStates_) {
        for (const CallId id : state.admission.expire(context_.now())) {
            over.push_back({ id, { 503, "deadline_too_short", "waited as long as it could", defaultRetryAfter } });
        }
    }
    for (const auto& [id, call] : calls_) {
        const bool claimLate = call->phase == Phase::WaitingForClaim && context_.now() - call->since >= claimPatience;
        if (claimLate) {
            over.push_back({ id, { 503, "claim_unavailable", "the claim was not read back", defaultRetryAfter } });
        } else if (call->phase != Phase::SecuringBill && context_.now() >= call->deadline) {
            over.push_back({ id, { 504, "deadline_passed", "", std::nullopt } });
        }
    }
    for (const auto& [id, why] : over) {
        if (Call* call = find(id)) {
            giveUp(*call, why);
        }
    }
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
