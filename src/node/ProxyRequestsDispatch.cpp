#include <algorithm>
#include <utility>

#include "node/ProxyRequests.h"

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] Priority priorityOf(std::uint32_t urgency)
    {
        if (urgency == 0) {
            return Priority::Interactive;
        }
        return urgency == 1 ? Priority::Normal : Priority::Batch;
    }

    /** The deepest part of the prompt that other requests may share; the last part is the request's own. */
    [[nodiscard]] std::uint64_t sharedPrefix(const std::vector<PrefixPart>& parts)
    {
        if (parts.empty()) {
            return 0;
        }
        return parts.size() == 1 ? parts.front().hash : parts[parts.size() - 2].hash;
    }

    [[nodiscard]] Tokens sharedTokens(const std::vector<PrefixPart>& parts)
    {
        Tokens sum;
        for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
            sum += parts[index].tokens;
        }
        return sum;
    }

    [[nodiscard]] routing::EndKind toEndKind(ProxyAttemptEnd end)
    {
        switch (end) {
        case ProxyAttemptEnd::Completed:
            return routing::EndKind::Completed;
        case ProxyAttemptEnd::Refused:
            return routing::EndKind::NotStarted;
        case ProxyAttemptEnd::Misdirected:
            return routing::EndKind::Leaving;
        case ProxyAttemptEnd::Failed:
            return routing::EndKind::Failed;
        case ProxyAttemptEnd::Unreachable:
        case ProxyAttemptEnd::Broken:
            return routing::EndKind::Broken;
        }
        return routing::EndKind::Broken;
    }

    [[nodiscard]] const char* toText(ProxyAttemptEnd end)
    {
        switch (end) {
        case ProxyAttemptEnd::Completed:
            return "completed";
        case ProxyAttemptEnd::Unreachable:
            return "unreachable";
        case ProxyAttemptEnd::Refused:
            return "refused";
        case ProxyAttemptEnd::Misdirected:
            return "misdirected";
        case ProxyAttemptEnd::Failed:
            return "failed";
        case ProxyAttemptEnd::Broken:
            return "broken";
        }
        return "broken";
    }

} // namespace internal

routing::SelectRequest ProxyRequests::selectRequest(const ProxyRequest& passage) const
{
    routing::SelectRequest request;
    request.service = passage.service->name;
    request.priority = internal::priorityOf(passage.urgency);
    request.idempotent = passage.mayRunAgain();
    request.excluded = passage.excluded;
    request.unreachableDomains = reach_.unreachableDomains(context_.now());
    if (passage.route->sharesPrefixes && !passage.facts.prefix.empty()) {
        request.prefixHash = internal::sharedPrefix(passage.facts.prefix);
        request.sharedTokens = internal::sharedTokens(passage.facts.prefix);
        // What is shared is taken to be cached where the request goes, so only its own part costs time.
        request.promptTokens = passage.facts.prefix.back().tokens;
    }
    return request;
}

routing::WaitingCall ProxyRequests::waitingCall(const ProxyRequest& passage) const
{
    return { passage.id, passage.accountId(), 1, std::max(passage.cost, Tokens { 1 }),
        internal::priorityOf(passage.urgency), passage.deadline };
}

std::optional<Duration> ProxyRequests::silenceLimit(const ProxyRequest& passage) const
{
    // A backend server's silence is no reason to end what can't be had elsewhere.
    if (!passage.mayRunAgain() || passage.runs + 1 >= passage.route->maxServers) {
        return std::nullopt;
    }
    if (passage.route->answer == fleet::AnswerKind::Events) {
        return resumableSilence;
    }
    return std::max<Duration>(passage.route->objective * silentObjectives, leastSilence);
}

void ProxyRequests::seekBackend(ProxyRequest& passage)
{
    enter(passage, ProxyPhase::WaitingForBackend);
    const auto choice = selector_->choose(selectRequest(passage), backends_, context_.now());
    if (!choice && selector_->noChoice() == routing::NoChoice::NoBackend) {
        if (passage.failureKept) {
            passFailureOn(passage, selector_->lastReason());
        } else {
            giveUp(passage, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        }
        return;
    }
    const auto predicted
        = choice ? std::optional<Duration> { choice->predictedFirstToken } : std::optional<Duration> {};
    const auto verdict = stateOf(passage).admission.admit(waitingCall(passage), predicted, context_.now());
    if (admitted(passage, verdict) && choice) {
        dispatch(passage, *choice);
    }
}

bool ProxyRequests::admitted(ProxyRequest& passage, const routing::AdmissionDecision& verdict)
{
    const CallId id = passage.id;
    for (const CallId displaced : verdict.displaced) {
        if (ProxyRequest* loser = find(displaced)) {
            giveUp(*loser, { 429, "account_over_share", "gave way to accounts below their share", defaultRetryAfter });
        }
    }
    if (verdict.verdict != routing::AdmissionVerdict::Refuse) {
        return verdict.verdict == routing::AdmissionVerdict::Dispatch;
    }
    const bool overShare = verdict.refusal == routing::AdmissionRefusal::AccountOverShare;
    if (ProxyRequest* refused = find(id)) {
        giveUp(
            *refused, { overShare ? 429 : 503, routing::toText(verdict.refusal), verdict.detail, verdict.retryAfter });
    }
    return false;
}

void ProxyRequests::pump(const ServiceName& service)
{
    const auto state = services_.find(service);
    if (state == services_.end()) {
        return;
    }
    routing::FairQueue& waiting = state->second.admission.queue();
    while (const auto next = waiting.peek()) {
        ProxyRequest* passage = find(next->call);
        if (passage == nullptr) {
            waiting.remove(next->call);
            continue;
        }
        const auto choice = selector_->choose(selectRequest(*passage), backends_, context_.now());
        if (!choice && selector_->noChoice() != routing::NoChoice::NoBackend) {
            return;
        }
        (void)waiting.pop(context_.now());
        if (choice) {
            dispatch(*passage, *choice);
        } else {
            giveUp(*passage, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        }
    }
}

void ProxyRequests::dispatch(ProxyRequest& passage, const routing::Choice& choice)
{
    // It may have waited here while backend servers ended under it elsewhere.
    if (refuseQuarantined(passage)) {
        return;
    }
    const fleet::BackendServer* server = fleet_.server(choice.backend);
    if (server == nullptr) {
        giveUp(passage, { 503, "no_backend", "the backend server is not registered any more", defaultRetryAfter });
        return;
    }
    enter(passage, ProxyPhase::Running);
    passage.attempt = AttemptId { ++lastAttempt_ };
    passage.backend = choice.backend;
    passage.backendStartedAt = server->startedAt;
    passage.domain = server->domain;
    ++passage.offers;
    byAttempt_[passage.attempt] = passage.id;
    const auto& parts = passage.facts.prefix;
    const Tokens own = parts.empty() ? passage.facts.promptTokens : parts.back().tokens;
    const Tokens toRead = own + (choice.prefillsSharedPart ? internal::sharedTokens(parts) : Tokens {});
    backends_.onDispatched(choice.backend, passage.attempt, { 0, toRead, choice.predictedFirstToken }, context_.now());
    context_.log(LogLineBuilder("route")
                     .with("request", passage.facts.id)
                     .with("content", toHex(passage.facts.content))
                     .with("account", passage.accountId().value())
                     .with("route", passage.route->name.value())
                     .with("config", static_cast<std::int64_t>(passage.table->config().version))
                     .with("service", passage.service->name.value())
                     .with("backend", choice.backend.value())
                     .with("offer", static_cast<std::int64_t>(passage.offers))
                     .with("after_event", static_cast<std::int64_t>(passage.events))
                     .with("waited_ms", toMilliseconds(context_.now() - passage.arrived))
                     .with("left_ms", toMilliseconds(passage.deadline - context_.now()))
                     .with("predicted_first_ms", toMilliseconds(choice.predictedFirstToken))
                     .with("reason", choice.reason));
    ProxyDispatch order;
    order.call = passage.id;
    order.attempt = passage.attempt;
    order.backend = choice.backend;
    order.address = server->address;
    order.account = passage.accountId();
    order.urgency = passage.urgency;
    order.timeLeft = passage.deadline - context_.now();
    order.answer = passage.route->answer;
    order.resume = passage.events > 0;
    order.silenceLimit = silenceLimit(passage);
    context_.emit(std::move(order));
}

void ProxyRequests::onProgress(const ProxyAttemptProgress& progress)
{
    ProxyRequest* passage = ofAttempt(progress.attempt);
    if (passage == nullptr) {
        return;
    }
    const bool first = passage->events == 0 && progress.events > 0;
    passage->events = std::max(passage->events, progress.events);
    if (first) {
        passage->firstEventAt = context_.now();
        backends_.onFirstToken(passage->backend, passage->attempt, context_.now());
        reach_.onBackendReached(passage->domain);
        quarantine_.onServerAnswered(passage->backendInstance(), passage->since);
        stateOf(*passage).admission.onFirstToken(context_.now() - passage->since);
    }
}

void ProxyRequests::onEnded(const ProxyAttemptEnded& ended)
{
    ProxyRequest* passage = ofAttempt(ended.attempt);
    if (passage == nullptr) {
        // A late word on an attempt that was given up: its caller has its final answer already.
        billEnded(ended);
        return;
    }
    const ServiceName service = passage->service->name;
    lastBackend_ = passage->backend;
    passage->events = std::max(passage->events, ended.events);
    if (ended.end == ProxyAttemptEnd::Completed && passage->route->answer == fleet::AnswerKind::Whole) {
        backends_.onFirstToken(passage->backend, passage->attempt, context_.now());
    }
    noteReach(*passage, ended.end);
    noteLoss(*passage, ended);
    closeAttempt(*passage, internal::toEndKind(ended.end));
    if (ended.end == ProxyAttemptEnd::Completed) {
        complete(*passage, ended);
    } else {
        tryElsewhere(*passage, ended);
    }
    pump(service);
}

// What goes wrong otherwise: a server that loses its power closes no connection, and what ran there is waited for until
// its caller has left, though its next life has registered already and another server could answer.
void ProxyRequests::onServerRestarted(const BackendId& server, Instant aliveAt)
{
    std::vector<ProxyAttemptEnded> lost;
    for (const auto& [attempt, call] : byAttempt_) {
        const ProxyRequest* passage = find(call);
        if (passage != nullptr && passage->backend == server && passage->since < aliveAt) {
            lost.push_back(
                { attempt, ProxyAttemptEnd::Broken, 0, passage->events, "the backend server started again", true });
        }
    }
    for (const ProxyAttemptEnded& ended : lost) {
        context_.emit(CancelAttempt { ended.attempt });
        onEnded(ended);
    }
}

void ProxyRequests::noteReach(const ProxyRequest& passage, ProxyAttemptEnd end)
{
    const Instant now = context_.now();
    const bool before = reach_.seemsUnreachable(passage.domain, now);
    if (end == ProxyAttemptEnd::Unreachable) {
        reach_.onBackendUnreachable(passage.domain, passage.backend, now);
    } else if (end != ProxyAttemptEnd::Broken) {
        reach_.onBackendReached(passage.domain);
    }
    if (const bool after = reach_.seemsUnreachable(passage.domain, now); after != before) {
        context_.log(LogLineBuilder("domain")
                         .with("domain", passage.domain.value())
                         .with("change", after ? "doubtful" : "reached")
                         .with("request", passage.facts.id)
                         .with("backend", passage.backend.value()));
    }
}

void ProxyRequests::noteLoss(const ProxyRequest& passage, const ProxyAttemptEnded& ended)
{
    const bool answered = ended.end == ProxyAttemptEnd::Completed;
    if (answered || ended.end == ProxyAttemptEnd::Failed || ended.end == ProxyAttemptEnd::Refused) {
        quarantine_.onServerAnswered(passage.backendInstance(), passage.since);
    }
    const auto request = passage.fingerprint();
    if (request && answered) {
        quarantine_.onAnswered(*request);
    } else if (request && ended.connectionLost) {
        quarantine_.onRequestLost(*request, passage.backendInstance(), passage.facts.id);
    }
}

void ProxyRequests::tryElsewhere(ProxyRequest& passage, const ProxyAttemptEnded& ended)
{
    const bool mayHaveRun = ended.end == ProxyAttemptEnd::Failed || ended.end == ProxyAttemptEnd::Broken;
    passage.runs += mayHaveRun ? 1 : 0;
    passage.failureKept = passage.failureKept || ended.end == ProxyAttemptEnd::Failed;
    context_.log(LogLineBuilder("attempt_failed")
                     .with("request", passage.facts.id)
                     .with("content", toHex(passage.facts.content))
                     .with("backend", passage.backend.value())
                     .with("connection_lost", ended.connectionLost)
                     .with("end", internal::toText(ended.end))
                     .with("status", static_cast<std::int64_t>(ended.status))
                     .with("events", static_cast<std::int64_t>(passage.events))
                     .with("detail", ended.detail));
    const std::string objection = objectionToRepeat(passage);
    if (objection.empty()) {
        seekBackend(passage);
    } else if (passage.failureKept) {
        passFailureOn(passage, objection);
    } else if (passage.runs > 0) {
        giveUp(passage, { 502, "backend_lost", ended.detail + "; " + objection, std::nullopt });
    } else {
        giveUp(passage, { 503, "not_started", ended.detail + "; " + objection, defaultRetryAfter });
    }
}

std::string ProxyRequests::objectionToRepeat(ProxyRequest& passage)
{
    if (passage.runs > 0 && !passage.mayRunAgain()) {
        return "it may run only once";
    }
    if (const auto request = passage.fingerprint(); request && quarantine_.quarantineEntry(*request)) {
        return "too many backend servers ended under it";
    }
    if (passage.runs >= passage.route->maxServers) {
        return "as many backend servers as the route allows may have run it";
    }
    if (passage.offers >= mostOffers) {
        return "offered to enough backend servers";
    }
    if (passage.deadline - context_.now() < leastTimeLeft) {
        return "no time left";
    }
    if (!stateOf(passage).retries.take(routers_(), context_.now())) {
        return "this router's share of the fleet's retries is used up";
    }
    return {};
}

} // namespace swiftlift::node
