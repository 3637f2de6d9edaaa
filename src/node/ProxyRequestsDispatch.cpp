#include <algorithm>
#include <chrono>
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

    /** @return Hash of the longest prefix that other requests may share; the last part belongs to this request only. */
    [[nodiscard]] std::uint64_t sharedPrefixHash(const std::vector<PrefixPart>& parts)
    {
        if (parts.empty()) {
            return 0;
        }
        return parts.size() == 1 ? parts.front().hash : parts[parts.size() - 2].hash;
    }

    /** @return Tokens of the parts that other requests may share. */
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

    /** @return True if no server can take the request now because none can take `blocked`, which needs no more. */
    [[nodiscard]] bool isBlockedBy(const routing::SelectRequest& request, const routing::SelectRequest& blocked)
    {
        const bool sameServers = (!blocked.version || blocked.version == request.version)
            && std::includes(
                request.excluded.begin(), request.excluded.end(), blocked.excluded.begin(), blocked.excluded.end());
        const bool noMoreUrgent = blocked.priority <= request.priority;
        const bool noMoreProbes = blocked.idempotent || !request.idempotent;
        return sameServers && noMoreUrgent && noMoreProbes && blocked.memory <= request.memory;
    }

    [[nodiscard]] bool isBlockedByAny(
        const routing::SelectRequest& request, const std::vector<routing::SelectRequest>& blocked)
    {
        return std::any_of(
            blocked.begin(), blocked.end(), [&](const auto& other) { return isBlockedBy(request, other); });
    }

} // namespace internal

std::string prefixText(const std::vector<PrefixPart>& parts)
{
    /** A longer prefix would fill the line. */
    constexpr std::size_t maxLogged = 8;
    std::string text;
    for (std::size_t index = 0; index < std::min(parts.size(), maxLogged); ++index) {
        text += (index == 0 ? "" : ",") + toHex(parts[index].hash);
    }
    return text;
}

routing::SelectRequest ProxyRequests::makeSelectRequest(const ProxyRequest& request) const
{
    routing::SelectRequest selection;
    selection.service = request.service->name;
    selection.priority = internal::priorityOf(request.urgency);
    selection.idempotent = request.mayRunAgain();
    selection.excluded = request.excluded;
    selection.version = request.streamVersion;
    selection.unreachableDomains = links_.unreachableDomains();
    selection.memory = request.memory();
    if (request.route->sharesPrefixes && !request.info.prefix.empty()) {
        selection.prefixHash = internal::sharedPrefixHash(request.info.prefix);
        selection.sharedTokens = internal::sharedTokens(request.info.prefix);
        // The shared prefix is assumed to be cached at the chosen backend server, so only the last part takes time.
        selection.promptTokens = request.info.prefix.back().tokens;
    }
    return selection;
}

routing::WaitingCall ProxyRequests::makeWaitingCall(const ProxyRequest& request) const
{
    return { request.id, request.accountId(), 1, std::max(request.maxCost, Tokens { 1 }),
        internal::priorityOf(request.urgency), request.deadline };
}

std::optional<Duration> ProxyRequests::silenceLimit(const ProxyRequest& request) const
{
    // No limit for a request that can't be sent to another backend server: abandoning the attempt would gain nothing.
    if (!request.mayRunAgain() || request.possibleRuns + 1 >= request.route->maxServers) {
        return std::nullopt;
    }
    if (request.route->answer == fleet::AnswerKind::Events) {
        return resumableSilenceLimit;
    }
    return std::max<Duration>(request.route->objective * silenceLimitInObjectives, minSilenceLimit);
}

void ProxyRequests::selectBackend(ProxyRequest& request)
{
    enterPhase(request, ProxyPhase::WaitingForBackend);
    const ServiceName service = request.service->name;
    const auto choice = selector_->choose(makeSelectRequest(request), backends_, context_.now());
    if (!choice && selector_->noChoice() == routing::NoChoice::NoBackend) {
        if (request.failureKept) {
            forwardFailure(request, selector_->lastReason());
        } else {
            refuse(request, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
        }
        return;
    }
    const auto predicted
        = choice ? std::optional<Duration> { choice->predictedFirstToken } : std::optional<Duration> {};
    const auto decision = serviceState(request).admission.admit(makeWaitingCall(request), predicted, context_.now());
    if (applyAdmission(request, decision) && choice) {
        dispatch(request, *choice);
    } else if (choice) {
        // The requests before it in the queue may be blocked for reasons that don't apply to it.
        dispatchWaiting(service);
    }
}

bool ProxyRequests::applyAdmission(ProxyRequest& request, const routing::AdmissionDecision& decision)
{
    const CallId id = request.id;
    for (const CallId displaced : decision.displaced) {
        if (ProxyRequest* displacedRequest = find(displaced)) {
            refuse(*displacedRequest,
                { 429, "account_over_share", "displaced from the queue by accounts below their share",
                    defaultRetryAfter });
        }
    }
    if (decision.verdict != routing::AdmissionVerdict::Refuse) {
        return decision.verdict == routing::AdmissionVerdict::Dispatch;
    }
    const bool overShare = decision.refusal == routing::AdmissionRefusal::AccountOverShare;
    if (ProxyRequest* refused = find(id)) {
        refuse(*refused,
            { overShare ? 429 : 503, routing::toText(decision.refusal), decision.detail, decision.retryAfter });
    }
    return false;
}

void ProxyRequests::dispatchWaiting(const ServiceName& service)
{
    const auto state = services_.find(service);
    if (state == services_.end()) {
        return;
    }
    const routing::FairQueue& waiting = state->second.admission.queue();
    routing::FairQueue::PassedOver passedOver;
    std::vector<routing::SelectRequest> blocked;
    while (const auto next = waiting.peek(passedOver)) {
        ProxyRequest* request = find(next->call);
        if (request == nullptr) {
            state->second.admission.queue().remove(next->call);
            continue;
        }
        routing::SelectRequest selection = makeSelectRequest(*request);
        if (internal::isBlockedByAny(selection, blocked)) {
            waiting.passOver(next->call, passedOver);
            continue;
        }
        const auto choice = selector_->choose(selection, backends_, context_.now());
        if (choice || selector_->noChoice() == routing::NoChoice::NoBackend) {
            serveWaiting(*request, choice);
            continue;
        }
        if (blocked.size() + 1 == maxBlocked) {
            return;
        }
        waiting.passOver(next->call, passedOver);
        if (selector_->noChoice() == routing::NoChoice::AllFull) {
            selection.memory = Tokens {};
        }
        blocked.push_back(std::move(selection));
    }
}

void ProxyRequests::serveWaiting(ProxyRequest& request, const std::optional<routing::Choice>& choice)
{
    (void)serviceState(request).admission.queue().take(request.id, context_.now());
    if (choice) {
        dispatch(request, *choice);
    } else {
        refuse(request, { 503, "no_backend", selector_->lastReason(), selector_->retryAfter() });
    }
}

// A request may wait for tokens or a place until late in a stop. Sent then, it would be cut with no answer, and its
// caller could not repeat it if it may run only once.
bool ProxyRequests::wouldBeCut(const ProxyRequest& request) const
{
    if (!cutAt_ || request.possibleRuns > 0) {
        return false;
    }
    const CoreSettings& settings = context_.settings();
    const Duration timeLeftAtLastArrival = settings.stopWork - settings.stopAcceptance;
    const Duration needed
        = std::min<Duration>({ request.route->timeLimit, timeLeftAtLastArrival, request.deadline - context_.now() });
    return *cutAt_ - context_.now() < needed;
}

void ProxyRequests::dispatch(ProxyRequest& request, const routing::Choice& choice)
{
    if (wouldBeCut(request)) {
        refuse(request, { 503, "stopping", "this VM stops before the request could end", notReadyRetryAfter });
        return;
    }
    // Backend servers may have crashed under the same request elsewhere while it was queued here.
    if (refuseQuarantined(request)) {
        return;
    }
    const fleet::BackendServer* server = fleet_.server(choice.backend);
    if (server == nullptr) {
        refuse(
            request, { 503, "no_backend", "the chosen backend server is not registered any more", defaultRetryAfter });
        return;
    }
    const LinkPath path = links_.pathTo(server->domain, request.links);
    if (!path.open) {
        refuseUnreachable(request);
        return;
    }
    enterPhase(request, ProxyPhase::Running);
    request.attempt = AttemptId { ++lastAttempt_ };
    request.backend = choice.backend;
    request.backendStartedAt = server->startedAt;
    request.backendVersion = server->version;
    request.domain = server->domain;
    request.pace.start(request.events);
    ++request.dispatches;
    countRetry(request);
    links_.onDispatched(request.links, path);
    callByAttempt_[request.attempt] = request.id;
    const auto& parts = request.info.prefix;
    const Tokens lastPartTokens = parts.empty() ? request.info.promptTokens : parts.back().tokens;
    const Tokens tokensToPrefill
        = lastPartTokens + (choice.prefillsSharedPart ? internal::sharedTokens(parts) : Tokens {});
    backends_.onDispatched(choice.backend, request.attempt,
        { 0, tokensToPrefill, choice.expectedFirstToken(), request.memory(), request.deadline - context_.now() },
        context_.now());
    request.expected = choice.expected;
    logRoute(request, choice, server->version);
    ProxyDispatch action;
    action.call = request.id;
    action.attempt = request.attempt;
    action.backend = choice.backend;
    action.address = server->address;
    action.account = request.accountId();
    action.urgency = request.urgency;
    action.timeLeft = request.deadline - context_.now();
    action.answer = request.route->answer;
    action.resume = request.events > 0;
    action.silenceLimit = silenceLimit(request);
    action.relay = path.relay;
    context_.emit(std::move(action));
}

void ProxyRequests::logRoute(const ProxyRequest& request, const routing::Choice& choice, const SoftwareVersion& version)
{
    LogLineBuilder line("route");
    line.with("request", request.info.id)
        .with("content", toHex(request.info.content))
        .with("prefix", prefixText(request.info.prefix))
        .with("account", request.accountId().value())
        .with("route", request.route->name.value())
        .with("config", static_cast<std::int64_t>(request.table->config().version))
        .with("config_age_ms", toMilliseconds(fleet_.configState().age))
        .with("service", request.service->name.value())
        .with("backend", choice.backend.value())
        .with("version", version.value())
        .with("relay", request.links.relay.value_or(PeerAddress {}).value())
        .with("offer", static_cast<std::int64_t>(request.dispatches))
        .with("after_event", static_cast<std::int64_t>(request.events))
        .with("waited_ms", toMilliseconds(context_.now() - request.arrivedAt))
        .with("left_ms", toMilliseconds(request.deadline - context_.now()))
        .with("predicted_first_ms", toMilliseconds(choice.expectedFirstToken()))
        .with("reason", choice.reason);
    if (choice.expected) {
        const routing::ExpectedCost& cost = *choice.expected;
        line.with("queue_ms", toMilliseconds(cost.queue))
            .with("unread_ms", toMilliseconds(cost.unread))
            .with("prefill_ms", toMilliseconds(cost.prefill))
            .with("to_others_ms", toMilliseconds(cost.toOthers))
            .with("cached", cost.cached.value());
        if (cost.cachedAge) {
            line.with("cached_age_ms", toMilliseconds(*cost.cachedAge));
        }
    }
    context_.log(line);
}

void ProxyRequests::notePromptServed(const ProxyRequest& request)
{
    const bool sharesPrefix = request.route->sharesPrefixes && !request.info.prefix.empty();
    const std::uint64_t prefixHash = sharesPrefix ? internal::sharedPrefixHash(request.info.prefix) : 0;
    selector_->onPromptServed(
        { routing::serverKey(request.backend, request.backendStartedAt), prefixHash, request.memory() },
        context_.now());
}

// The answers state no cached tokens. A first event that came sooner than the prefill of the shared part alone would
// have taken shows that this part was cached; a later one shows nothing.
void ProxyRequests::compareWithPrediction(const ProxyRequest& request)
{
    if (!request.expected) {
        return;
    }
    const Duration took = context_.now() - request.phaseStart;
    const Duration expected = request.expected->firstEvent();
    const auto milliseconds = [](Duration duration) { return static_cast<double>(toMilliseconds(duration)); };
    context_.count("swiftlift_first_events_predicted_total");
    context_.count("swiftlift_first_event_predicted_ms_total", {}, milliseconds(expected));
    context_.count("swiftlift_first_event_measured_ms_total", {}, milliseconds(took));
    context_.count("swiftlift_first_event_error_ms_total", {}, milliseconds(std::chrono::abs(took - expected)));
    if (request.expected->sharedPrefill > Duration {}) {
        const bool predictedHit = request.expected->cached > Tokens {};
        const bool provenHit = took < request.expected->sharedPrefill;
        context_.count("swiftlift_prefix_cache_predictions_total",
            { { "predicted", predictedHit ? "hit" : "miss" }, { "proven", provenHit ? "hit" : "unknown" } });
    }
}

void ProxyRequests::onProgress(const ProxyAttemptProgress& progress)
{
    ProxyRequest* request = findByAttempt(progress.attempt);
    if (request == nullptr) {
        return;
    }
    const bool first = request->events == 0 && progress.events > 0;
    request->events = std::max(request->events, progress.events);
    request->pace.onEvents(progress.events, context_.now());
    noteLongAnswer(*request);
    if (first) {
        request->firstEventAt = context_.now();
        noteStreamBegan(*request);
        backends_.onFirstToken(request->backend, request->attempt, context_.now());
        notePromptServed(*request);
        compareWithPrediction(*request);
        links_.onAnswering(request->links, request->domain);
        quarantine_.onServerAnswered(request->backendInstance(), request->phaseStart);
        serviceState(*request).admission.onFirstToken(context_.now() - request->phaseStart);
    }
}

void ProxyRequests::noteLongAnswer(ProxyRequest& request)
{
    if (!request.partsAnswered && request.firstEventAt && context_.now() - *request.firstEventAt >= longAnswer
        && *request.firstEventAt >= request.phaseStart) {
        request.partsAnswered = true;
        quarantine_.onPartsAnswered(request.sharedParts, request.phaseStart);
    }
}

void ProxyRequests::onAttemptEnded(const ProxyAttemptEnded& ended)
{
    ProxyRequest* request = findByAttempt(ended.attempt);
    if (request == nullptr) {
        // The attempt was cancelled before this event; the caller already has its final answer.
        billEnded(ended);
        return;
    }
    const ServiceName service = request->service->name;
    lastEndedBackend_ = request->backend;
    request->events = std::max(request->events, ended.events);
    if (ended.end == ProxyAttemptEnd::Completed && request->route->answer == fleet::AnswerKind::Events) {
        request->pace.onEvents(ended.events, context_.now());
    }
    if (ended.end == ProxyAttemptEnd::Completed && request->route->answer == fleet::AnswerKind::Whole) {
        backends_.onFirstToken(request->backend, request->attempt, context_.now());
        compareWithPrediction(*request);
    }
    if (ended.end == ProxyAttemptEnd::Completed) {
        notePromptServed(*request);
    }
    const bool answered = ended.end != ProxyAttemptEnd::Broken && ended.end != ProxyAttemptEnd::Unreachable;
    const ServerEvidence shown
        = links_.onEnded(request->links, request->linkAttempt(), { ended.connectFailure, answered });
    reportToQuarantine(*request, ended);
    routing::FinishFacts facts;
    facts.kind = routing::EndKind::Cancelled;
    facts.arrived = ended.end != ProxyAttemptEnd::Unreachable;
    if (shown == ServerEvidence::Conclusive) {
        facts.kind = internal::toEndKind(ended.end);
        facts.announcement = ended.announcement;
    }
    closeAttempt(*request, facts);
    if (shown == ServerEvidence::None) {
        request->excluded.erase(request->backend);
    }
    if (ended.end == ProxyAttemptEnd::Completed) {
        complete(*request, ended);
    } else {
        retryOrFail(*request, ended);
    }
    dispatchWaiting(service);
}

// A server that loses power closes no connection. Without this, the router would wait for the requests that ran on the
// server until their callers give up, although the next instance has already registered and another server could
// answer.
void ProxyRequests::onServerRestarted(const BackendId& server, Instant aliveAt)
{
    std::vector<ProxyAttemptEnded> lostAttempts;
    for (const auto& [attempt, call] : callByAttempt_) {
        const ProxyRequest* request = find(call);
        if (request != nullptr && request->backend == server && request->phaseStart < aliveAt) {
            lostAttempts.push_back(
                { attempt, ProxyAttemptEnd::Broken, 0, request->events, "the backend server restarted", true });
        }
    }
    for (const ProxyAttemptEnded& ended : lostAttempts) {
        context_.emit(CancelAttempt { ended.attempt });
        onAttemptEnded(ended);
    }
}

void ProxyRequests::refuseUnreachable(ProxyRequest& request)
{
    const std::string detail = "this VM has lost its links to backend servers, and no peer relays";
    if (request.failureKept) {
        forwardFailure(request, detail);
    } else {
        refuse(request, { 503, "no_link", detail, defaultRetryAfter });
    }
}

void ProxyRequests::reportToQuarantine(const ProxyRequest& request, const ProxyAttemptEnded& ended)
{
    const bool answered = ended.end == ProxyAttemptEnd::Completed;
    const bool lives = !ended.connectionLost;
    if (lives && (answered || ended.end == ProxyAttemptEnd::Failed || ended.end == ProxyAttemptEnd::Refused)) {
        quarantine_.onServerAnswered(request.backendInstance(), request.phaseStart);
    }
    if (answered) {
        quarantine_.onAnswered({ request.fingerprint(), request.sharedParts, request.backendInstance(),
                                   request.phaseStart, request.info.id },
            lives);
    } else if (const auto fingerprint = request.fingerprint(); fingerprint && ended.connectionLost) {
        quarantine_.onRequestLost(*fingerprint, request.sharedParts, request.backendInstance(), request.info.id);
    }
}

} // namespace swiftlift::node
