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

routing::SelectRequest Requests::makeSelectRequest(const Call& call) const
{
    routing::SelectRequest request;
    request.service = call.request.service;
    request.model = call.service->model;
    request.prefixHash = call.request.prefixHash;
    request.promptTokens = call.request.promptTokens;
    request.priority = call.request.priority;
    request.idempotent = call.request.idempotent;
    request.excluded = call.excluded;
    request.unreachableDomains = links_.unreachableDomains();
    return request;
}

routing::WaitingCall Requests::makeWaitingCall(const Call& call) const
{
    return { call.id, call.request.account, call.accountUse.weight, call.maxCost, call.request.priority,
        call.deadline };
}

void Requests::selectBackend(Call& call)
{
    enterPhase(call, CallPhase::WaitingForBackend);
    const auto choice = selector_->choose(makeSelectRequest(call), backends_, context_.now());
    if (!choice && selector_->noChoice() == routing::NoChoice::NoBackend) {
        unservedListener_(call.service->model);
        refuse(call, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        return;
    }
    const auto predicted
        = choice ? std::optional<Duration> { choice->predictedFirstToken } : std::optional<Duration> {};
    const auto decision = serviceState(call).admission.admit(makeWaitingCall(call), predicted, context_.now());
    if (applyAdmission(call, decision) && choice) {
        dispatch(call, *choice);
    }
}

bool Requests::applyAdmission(Call& call, const routing::AdmissionDecision& decision)
{
    const CallId id = call.id;
    for (const CallId displaced : decision.displaced) {
        if (Call* displacedCall = find(displaced)) {
            refuse(*displacedCall,
                { 429, "account_over_share", "displaced from the queue by accounts below their share",
                    defaultRetryAfter });
        }
    }
    if (decision.verdict != routing::AdmissionVerdict::Refuse) {
        return decision.verdict == routing::AdmissionVerdict::Dispatch;
    }
    const bool overShare = decision.refusal == routing::AdmissionRefusal::AccountOverShare;
    if (Call* refused = find(id)) {
        refuse(*refused,
            { overShare ? 429 : 503, routing::toText(decision.refusal), decision.detail, decision.retryAfter });
    }
    return false;
}

void Requests::dispatchWaiting(const ServiceName& service)
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
        const auto choice = selector_->choose(makeSelectRequest(*call), backends_, context_.now());
        if (!choice && selector_->noChoice() != routing::NoChoice::NoBackend) {
            return;
        }
        (void)waiting.pop(context_.now());
        if (choice) {
            dispatch(*call, *choice);
        } else {
            unservedListener_(call->service->model);
            refuse(*call, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        }
    }
}

void Requests::dispatchAllWaiting()
{
    for (const auto& [service, state] : serviceStates_) {
        dispatchWaiting(service);
    }
}

void Requests::dispatch(Call& call, const routing::Choice& choice)
{
    const RequestKey& key = call.request.key;
    if (!table_.mayDispatch(key)) {
        refuse(call, { 409, "may_not_run", "another run of the request can't be ruled out", defaultRetryAfter });
        return;
    }
    const auto server = backends_.view(choice.backend, {}, context_.now());
    const FailureDomain domain = server ? server->domain : FailureDomain {};
    const LinkPath path = links_.pathTo(domain, call.links);
    if (!path.open) {
        refuse(call,
            { 503, "no_link", "this VM has lost its links to backend servers, and no peer relays", defaultRetryAfter });
        return;
    }
    table_.dispatched(key);
    enterPhase(call, CallPhase::Running);
    call.attempt = AttemptId { ++lastAttempt_ };
    call.backend = choice.backend;
    call.domain = domain;
    links_.onDispatched(call.links, path);
    ++call.attemptsMade;
    callByAttempt_[call.attempt] = call.id;
    routing::DispatchFacts facts { call.request.prefixHash, call.request.promptTokens };
    facts.timeLeft = call.deadline - context_.now();
    backends_.onDispatched(choice.backend, call.attempt, facts, context_.now());
    LogLineBuilder line("route");
    line.with("request", call.request.id.value())
        .with("account", call.request.account.value())
        .with("service", call.request.service.value())
        .with("backend", choice.backend.value())
        .with("relay", call.links.relay.value_or(PeerAddress {}).value())
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
        call.delivered, call.service->limits.silence, path.relay });
}

void Requests::onProgress(const AttemptProgress& progress)
{
    const auto found = callByAttempt_.find(progress.attempt);
    if (found == callByAttempt_.end()) {
        return;
    }
    Call* call = find(found->second);
    call->delivered = std::max(call->delivered, progress.answerTokens);
    noteFirstToken(*call);
}

void Requests::noteFirstToken(Call& call)
{
    if (call.firstTokenAt) {
        return;
    }
    call.firstTokenAt = context_.now();
    links_.onAnswering(call.links, call.domain);
    backends_.onFirstToken(call.backend, call.attempt, context_.now());
    serviceState(call).admission.onFirstToken(context_.now() - call.phaseStart);
}

void Requests::onAttemptEnded(const AttemptEnded& ended)
{
    const auto found = callByAttempt_.find(ended.attempt);
    if (found == callByAttempt_.end()) {
        // The attempt was cancelled before this event; the caller already has its final answer.
        return;
    }
    Call& call = *find(found->second);
    const ServiceName service = call.request.service;
    call.delivered = std::max(call.delivered, ended.answerTokens);
    const bool answered = ended.end != AttemptEnd::Broken && ended.connectFailure == ConnectFailure::None;
    const ServerEvidence shown = links_.onEnded(call.links, call.linkAttempt(), { ended.connectFailure, answered });
    finishAttempt(call, ended, shown);
    if (ended.end == AttemptEnd::Completed) {
        complete(call, ended);
    } else {
        retryOrFail(call, ended);
    }
    dispatchWaiting(service);
}

void Requests::finishAttempt(Call& call, const AttemptEnded& ended, ServerEvidence shown)
{
    table_.attemptEnded(call.request.key, ended.end);
    const bool conclusive = shown == ServerEvidence::Conclusive;
    const routing::FinishFacts finish { conclusive ? internal::toEndKind(ended.end) : routing::EndKind::Cancelled,
        ended.promptTokens, ended.cachedPromptTokens, ended.announcement };
    backends_.onFinished(call.backend, call.attempt, finish, context_.now());
    callByAttempt_.erase(call.attempt);
    if (shown != ServerEvidence::None) {
        call.excluded.insert(call.backend);
    }
    call.attempt = AttemptId {};
}

void Requests::retryOrFail(Call& call, const AttemptEnded& ended)
{
    context_.log(LogLineBuilder("attempt_failed")
                     .with("request", call.request.id.value())
                     .with("backend", call.backend.value())
                     .with("not_started", ended.end != AttemptEnd::Broken)
                     .with("delivered", call.delivered.value())
                     .with("detail", ended.detail));
    if (!table_.mayDispatch(call.request.key)) {
        refuse(call, { 502, "backend_lost", ended.detail, std::nullopt });
        return;
    }
    // Attempts that did not start the request did no work, so they count against a separate limit. Otherwise, when all
    // engines of a failure domain answer that they are full, a request would use up its attempts on them within a few
    // milliseconds and be refused, although other failure domains have room.
    call.attemptsBroken += ended.end == AttemptEnd::Broken ? 1 : 0;
    if (call.attemptsBroken >= call.service->retry.attempts || call.excluded.size() >= maxServers
        || call.attemptsMade >= maxDispatches) {
        refuse(call, { 503, "no_backend", "all attempts failed: " + ended.detail, defaultRetryAfter });
        return;
    }
    routing::RetryBudget& retries = serviceState(call).retries;
    // A backend server that did not start the request has done no work, so such a retry doesn't use the retry budget.
    if (ended.end == AttemptEnd::Broken && !retries.tryRetry(context_.now())) {
        refuse(call,
            { 429, "retry_budget", "the service's budget of retries is used up", retries.retryAfter(context_.now()) });
        return;
    }
    selectBackend(call);
}

void Requests::cancelAttempt(Call& call)
{
    if (call.phase != CallPhase::Running || call.attempt == AttemptId {}) {
        return;
    }
    context_.emit(CancelAttempt { call.attempt });
    links_.onEnded(call.links, call.linkAttempt(), {});
    backends_.onFinished(
        call.backend, call.attempt, { routing::EndKind::Cancelled, Tokens {}, Tokens {} }, context_.now());
    table_.attemptEnded(call.request.key, AttemptEnd::Broken);
    callByAttempt_.erase(call.attempt);
    call.attempt = AttemptId {};
}

} // namespace swiftlift::node
