#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "node/ProxyRequests.h"

namespace swiftlift::node {

namespace {

    constexpr int statusTooManyRequests = 429;
    constexpr int statusBadGateway = 502;
    constexpr int statusUnavailable = 503;

} // namespace

void ProxyRequests::complete(ProxyRequest& request, const ProxyAttemptEnded& ended)
{
    request.possibleRuns += 1;
    const Tokens billed = settle(request, wholeAnswerTokens(request));
    context_.log(
        LogLineBuilder("answered")
            .with("request", request.info.id)
            .with("account", request.accountId().value())
            .with("backend", request.backend.value())
            .with("status", static_cast<std::int64_t>(ended.status))
            .with("events", static_cast<std::int64_t>(request.events))
            .with("billed", billed.value())
            .with("first_ms", toMilliseconds(request.firstEventAt.value_or(context_.now()) - request.arrivedAt))
            .with("took_ms", toMilliseconds(context_.now() - request.arrivedAt)));
    context_.count("swiftlift_answers_total");
    noteStreamComplete(request);
    end(request);
}

void ProxyRequests::forwardFailure(ProxyRequest& request, const std::string& objection)
{
    context_.log(LogLineBuilder("failure_passed_on")
                     .with("request", request.info.id)
                     .with("account", request.accountId().value())
                     .with("backend", request.backend.value())
                     .with("not_repeated", objection)
                     .with("took_ms", toMilliseconds(context_.now() - request.arrivedAt)));
    context_.count("swiftlift_failures_passed_on_total");
    context_.emit(ProxyFailureReply { request.id });
    finishOnceCounted(request, request.attempt);
}

void ProxyRequests::refuse(ProxyRequest& request, const ProxyRefusal& refusal)
{
    const AttemptId attempt = request.attempt;
    const bool running = request.phase == ProxyPhase::Running && attempt != AttemptId {};
    request.possibleRuns += running ? 1 : 0;
    cancelAttempt(request);
    const Outcome outcome = request.possibleRuns > 0 ? Outcome::Unknown : Outcome::NotRun;
    ProxyRefusal reported = refusal;
    // These statuses state that the request has not run, which would be false for a request that may have run.
    if (request.possibleRuns > 0 && (refusal.status == statusTooManyRequests || refusal.status == statusUnavailable)) {
        reported.status = statusBadGateway;
    }
    logRefusal(reported,
        LogLineBuilder("refuse")
            .with("request", request.info.id)
            .with("account", request.accountId().value())
            .with("config", static_cast<std::int64_t>(request.table->config().version))
            .with("config_age_ms", toMilliseconds(fleet_.configState().age))
            .with("outcome", toText(outcome))
            .with("after_ms", toMilliseconds(context_.now() - request.arrivedAt)));
    context_.emit(Reply {
        request.id, outcome, reported.status, reported.reason, reported.detail, reported.retryAfter, Tokens {} });
    finishOnceCounted(request, attempt);
}

// Only the transport knows how many events it forwarded until it cut the answer, so the reservation is kept until the
// transport reports that number. Billing at once by the events known here would leave events unpaid that the transport
// is forwarding at that moment; billing the whole reservation would charge the caller for tokens it never received,
// visible as bills of whole reservations beside streams that ended early.
void ProxyRequests::finishOnceCounted(ProxyRequest& request, AttemptId attempt)
{
    if (request.dispatches == 0 || !request.reservation) {
        settle(request, {});
        end(request);
        return;
    }
    const CallId id = request.id;
    cutAnswers_.emplace(id, CutAnswer { remove(request), attempt, context_.now() + eventCountTimeout });
}

void ProxyRequests::billAbandoned(const ProxyRequestAbandoned& abandoned)
{
    if (const auto cut = cutAnswers_.find(abandoned.call); cut != cutAnswers_.end()) {
        ProxyRequest& request = *cut->second.request;
        request.events = std::max(request.events, abandoned.events);
        billCutAnswer(cut, forwardedTokens(request));
    }
}

void ProxyRequests::billEnded(const ProxyAttemptEnded& ended)
{
    const auto cut
        = std::ranges::find(cutAnswers_, ended.attempt, [](const auto& entry) { return entry.second.attempt; });
    if (cut != cutAnswers_.end()) {
        ProxyRequest& request = *cut->second.request;
        request.events = std::max(request.events, ended.events);
        billCutAnswer(
            cut, ended.end == ProxyAttemptEnd::Completed ? wholeAnswerTokens(request) : forwardedTokens(request));
    }
}

void ProxyRequests::billUncounted()
{
    for (auto cut = cutAnswers_.begin(); cut != cutAnswers_.end();) {
        const auto next = std::next(cut);
        if (context_.now() >= cut->second.eventCountDeadline) {
            billCutAnswer(cut, cut->second.request->maxCost);
        }
        cut = next;
    }
}

void ProxyRequests::billCutAnswer(CutAnswers::iterator cut, Tokens actual)
{
    ProxyRequest& request = *cut->second.request;
    if (const Tokens billed = settle(request, actual); billed > Tokens {}) {
        context_.log(LogLineBuilder("cut_billed")
                         .with("request", request.info.id)
                         .with("account", request.accountId().value())
                         .with("events", static_cast<std::int64_t>(request.events))
                         .with("billed", billed.value()));
    }
    cutAnswers_.erase(cut);
}

void ProxyRequests::logRefusal(const ProxyRefusal& refusal, LogLineBuilder line)
{
    line = line.with("status", static_cast<std::int64_t>(refusal.status))
               .with("reason", refusal.reason)
               .with("detail", refusal.detail)
               .with("retry_after_ms", toMilliseconds(refusal.retryAfter));
    if (refusal.budget) {
        line = line.with("bought", refusal.budget->figures.bought.value())
                   .with("billed", refusal.budget->figures.billed.value())
                   .with("held", refusal.budget->figures.held.value())
                   .with("read_to", static_cast<std::int64_t>(refusal.budget->readTo.value()))
                   .with("log_in_reach", refusal.budget->logInReach);
    }
    context_.log(line);
    context_.count("swiftlift_refusals_total", { { "reason", refusal.reason } });
}

void ProxyRequests::onAbandoned(const ProxyRequestAbandoned& abandoned)
{
    ProxyRequest* request = find(abandoned.call);
    if (request == nullptr) {
        billAbandoned(abandoned);
        return;
    }
    request->events = std::max(request->events, abandoned.events);
    const ServiceName service = request->service->name;
    request->possibleRuns += request->phase == ProxyPhase::Running ? 1 : 0;
    cancelAttempt(*request);
    const Tokens billed = settle(*request, forwardedTokens(*request));
    context_.log(LogLineBuilder("caller_gone")
                     .with("request", request->info.id)
                     .with("account", request->accountId().value())
                     .with("events", static_cast<std::int64_t>(request->events))
                     .with("billed", billed.value())
                     .with("after_ms", toMilliseconds(context_.now() - request->arrivedAt)));
    end(*request);
    dispatchWaiting(service);
}

void ProxyRequests::cancelAttempt(ProxyRequest& request)
{
    if (request.phase != ProxyPhase::Running || request.attempt == AttemptId {}) {
        return;
    }
    context_.emit(CancelAttempt { request.attempt });
    links_.onEnded(request.links, request.linkAttempt(), {});
    closeAttempt(request, { routing::EndKind::Cancelled, Tokens {}, Tokens {} });
}

void ProxyRequests::closeAttempt(ProxyRequest& request, routing::FinishFacts facts)
{
    // An attempt that broke off or was cancelled may have waited long for an event that never came.
    if (facts.kind == routing::EndKind::Completed) {
        facts.pace = request.pace.mean();
    }
    backends_.onFinished(request.backend, request.attempt, facts, context_.now());
    callByAttempt_.erase(request.attempt);
    request.excluded.insert(request.backend);
    request.attempt = AttemptId {};
}

// Counts the forwarded part of the answer, and the prompt once, from the first event on. If the prompt counted from the
// dispatch on, callers that disconnect before the first event and requests that fail before it would be billed without
// having received anything. The symptoms are `caller_gone` lines with 0 events and a bill, and accounts refused with
// 402 although they received less than they bought.
Tokens ProxyRequests::forwardedTokens(const ProxyRequest& request) const
{
    if (request.events == 0) {
        return {};
    }
    const std::uint64_t perEvent = request.service->engine ? request.service->engine->tokensPerEvent : 1;
    const Tokens answer { static_cast<std::int64_t>(request.events * perEvent) };
    return request.info.promptTokens + std::min(answer, request.info.maxAnswerTokens);
}

// The number of tokens in an answer that comes as one body is not known here, so the maximum cost is billed.
Tokens ProxyRequests::wholeAnswerTokens(const ProxyRequest& request) const
{
    return request.route->answer == fleet::AnswerKind::Whole ? request.maxCost : forwardedTokens(request);
}

Tokens ProxyRequests::settle(ProxyRequest& request, Tokens actual)
{
    if (!request.reservation) {
        return {};
    }
    ShardLedger& shard = ledgers_.of(request.accountId());
    const Tokens billed = std::min(actual, request.reservation->amount);
    if (billed > Tokens {}) {
        (void)shard.settle(*request.reservation, billed);
    } else {
        shard.release(*request.reservation);
    }
    request.reservation.reset();
    return billed;
}

void ProxyRequests::end(ProxyRequest& request)
{
    if (request.phase == ProxyPhase::WaitingForTokens && request.maxCost > Tokens {}) {
        removeFromTokenQueue(request);
        ledgers_.of(request.accountId()).withdraw(budgetOf(request), keyOf(request));
    }
    (void)remove(request);
}

std::unique_ptr<ProxyRequest> ProxyRequests::remove(ProxyRequest& request)
{
    if (request.service != nullptr) {
        ServiceState& state = serviceState(request);
        state.admission.queue().remove(request.id);
        if (request.retryReserved) {
            state.retries.release();
        }
    }
    return std::move(proxyRequests_.extract(request.id).mapped());
}

void ProxyRequests::expire()
{
    std::vector<std::pair<CallId, ProxyRefusal>> expired;
    for (auto& [service, state] : services_) {
        for (const CallId id : state.admission.expire(context_.now())) {
            expired.push_back({ id,
                { 503, "deadline_too_short", "the remaining time is too short for an answer", defaultRetryAfter } });
        }
    }
    for (const auto& [id, request] : proxyRequests_) {
        if (context_.now() < request->deadline) {
            continue;
        }
        const bool running = request->phase == ProxyPhase::Running || request->possibleRuns > 0;
        expired.push_back({ id, { running ? 504 : 503, "deadline_passed", "", std::nullopt } });
    }
    for (const auto& [id, refusal] : expired) {
        if (ProxyRequest* request = find(id)) {
            refuse(*request, refusal);
        }
    }
}

} // namespace swiftlift::node
