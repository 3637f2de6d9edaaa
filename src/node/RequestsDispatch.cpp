#include <algorithm>
#include <cassert>
#include <utility>

#include "node/Requests.h"

namespace swiftlift::node {

namespace internal {

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

} // namespace internal

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

bool Requests::admitted(Call& call, const routing::AdmissionDecision& verdict)
{
    const CallId id = call.id;
    for (const CallId displaced : verdict.displaced) {
        if (Call* loser = find(displaced)) {
            giveUp(*loser, { 429, "account_over_share", "gave way to accounts below their share", defaultRetryAfter });
        }
    }
    if (verdict.verdict != routing::AdmissionVerdict::Refuse) {
        return verdict.verdict == routing::AdmissionVerdict::Dispatch;
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
    LogLineBuilder line("route");
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

void Requests::tryElsewhere(Call& call, const AttemptEnded& ended)
{
    context_.log(LogLineBuilder("attempt_failed")
                     .with("request", call.request.id.value())
                     .with("backend", call.backend.value())
                     .with("not_started", ended.end != AttemptEnd::Broken)
                     .with("delivered", call.delivered.value())
                     .with("detail", ended.detail));
    if (!table_.mayDispatch(call.request.key)) {
        giveUp(call, { 502, "backend_lost", ended.detail, std::nullopt });
        return;
    }
    // What goes wrong otherwise: all engines of a failure domain say "full", a request spends its attempts on them in a
    // few milliseconds and is refused, though other domains have room. An offer that was not taken up did no work, so
    // it counts against a bound of its own.
    call.attemptsBroken += ended.end == AttemptEnd::Broken ? 1 : 0;
    if (call.attemptsBroken >= call.service->retry.attempts || call.excluded.size() >= mostOffers) {
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

} // namespace swiftlift::node
