#include "node/ProxyRequests.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::node {

namespace internal {

    [[nodiscard]] routing::SelectorSettings proxySelectorSettings(const CoreSettings& settings)
    {
        routing::SelectorSettings result;
        result.domain = settings.domain;
        result.seed = settings.seed;
        return result;
    }

    /** @return Hash that distributes requests over a route's targets; the request id differs with each request. */
    [[nodiscard]] std::uint64_t targetHash(const ProxyRequestInfo& info) { return std::hash<std::string> {}(info.id); }

} // namespace internal

const BudgetId& prepaidBudget()
{
    static const BudgetId name { "prepaid" };
    return name;
}

ProxyRequests::ProxyRequests(Context& context, const FleetDirectory& fleet, routing::BackendTable& backends,
    BackendLinks& links, Ledgers& ledgers, QuarantineCoordinator& quarantine, StreamVersions& streamVersions,
    std::function<routing::FleetSize()> fleetSize)
    : context_(context)
    , fleet_(fleet)
    , backends_(backends)
    , links_(links)
    , ledgers_(ledgers)
    , quarantine_(quarantine)
    , streamVersions_(streamVersions)
    , fleetSize_(std::move(fleetSize))
    , selector_(
          routing::makeSelector(context.settings().routingPolicy, internal::proxySelectorSettings(context.settings())))
{
    assert(selector_ != nullptr && "the settings' check accepts only known routing policies");
}

void ProxyRequests::refuseImmediately(CallId id, const ProxyRequestInfo& info, std::string reason, std::string detail)
{
    const ProxyRefusal refusal { 503, std::move(reason), std::move(detail), notReadyRetryAfter };
    logRefusal(refusal,
        LogLineBuilder("refuse")
            .with("request", info.id)
            .with("outcome", "not_run")
            .with("after_ms", std::int64_t { 0 }));
    context_.emit(
        Reply { id, Outcome::NotRun, refusal.status, refusal.reason, refusal.detail, refusal.retryAfter, Tokens {} });
}

void ProxyRequests::onArrived(CallId id, const ProxyRequestInfo& info, Instant at)
{
    context_.count("swiftlift_requests_total");
    auto created = std::make_unique<ProxyRequest>();
    created->id = id;
    created->info = info;
    created->table = fleet_.routes();
    created->arrivedAt = std::min(at, context_.now());
    ProxyRequest& request = *proxyRequests_.emplace(id, std::move(created)).first->second;
    enterPhase(request, ProxyPhase::WaitingForTokens);
    if (refuseIfOutdated(request) || !findRoute(request) || !findAccount(request) || !findService(request)
        || refuseQuarantined(request)) {
        return;
    }
    serviceState(request).retries.onRequest();
    if (info.continuesStream && request.route->answer == fleet::AnswerKind::Events) {
        findStreamVersion(request);
    } else {
        reserveTokens(request);
    }
}

// The route may have been dropped, or the key revoked, longer ago than a router may go on serving it.
bool ProxyRequests::refuseIfOutdated(ProxyRequest& request)
{
    if (!fleet_.mayBeOutdated()) {
        return false;
    }
    refuse(request, { 503, "config_unconfirmed", "a newer configuration may have to be in force", defaultRetryAfter });
    return true;
}

bool ProxyRequests::findRoute(ProxyRequest& request)
{
    request.route = request.table->find(request.info.host, request.info.path);
    if (request.route == nullptr) {
        refuseAsUnknown(request, { 404, "no_route", "no route for this host and path", std::nullopt });
        return false;
    }
    const fleet::Route& route = *request.route;
    const Duration limit = std::min(request.info.deadline.value_or(route.timeLimit), route.timeLimit);
    request.deadline = request.arrivedAt + limit;
    request.urgency = route.urgency;
    if (request.deadline - context_.now() < minTimeLeft) {
        refuse(request,
            { 503, "deadline_too_short", "no time was left when the router began to handle the request",
                defaultRetryAfter });
        return false;
    }
    return true;
}

bool ProxyRequests::findAccount(ProxyRequest& request)
{
    if (!request.table->requiresKeys() || request.route->open) {
        return true;
    }
    request.account = request.table->accountOf(request.info.key);
    if (request.account == nullptr) {
        refuseAsUnknown(request, { 401, "bad_key", "no account has this key", std::nullopt });
        return false;
    }
    request.urgency = request.account->urgency.value_or(request.urgency);
    return true;
}

void ProxyRequests::refuseAsUnknown(ProxyRequest& request, const ProxyRefusal& refusal)
{
    if (fleet_.confirmed()) {
        refuse(request, refusal);
        return;
    }
    // Callers don't retry after a 401 or 404, so a router may answer them only by the newest configuration.
    refuse(request,
        { 503, "config_unconfirmed", refusal.reason + " by a configuration that may be outdated", defaultRetryAfter });
}

bool ProxyRequests::findService(ProxyRequest& request)
{
    const ServiceName name = fleet::RouteTable::target(*request.route, internal::targetHash(request.info));
    request.service = request.table->service(name);
    if (request.service == nullptr) {
        refuse(request, { 503, "no_service", "the route's target service is not configured", defaultRetryAfter });
        return false;
    }
    const auto& prefix = request.info.prefix;
    for (std::size_t index = 0; index + 1 < prefix.size(); ++index) {
        request.sharedParts.push_back({ stableHash(name.value()), prefix[index].hash });
    }
    if (request.account != nullptr && request.account->budget) {
        request.maxCost = request.info.promptTokens + request.info.maxAnswerTokens;
    }
    return true;
}

// Status 429 says that the request has not run and that the caller is the cause. The retry time is the end of the
// quarantine, as an earlier retry would be refused again.
bool ProxyRequests::refuseQuarantined(ProxyRequest& request)
{
    const auto fingerprint = request.fingerprint();
    const auto entry = fingerprint ? quarantine_.quarantineEntry(*fingerprint) : std::nullopt;
    const auto part = entry ? std::nullopt : quarantine_.heldBackPart(request.sharedParts);
    if (part) {
        refuse(request,
            { 429, "quarantined",
                std::to_string(part->serversEnded) + " backend servers crashed while running requests with part "
                    + toHex(part->part.hash) + " of the prompt",
                part->until - context_.now() });
        return true;
    }
    if (!entry) {
        return false;
    }
    refuse(request,
        { 429, "quarantined",
            std::to_string(entry->serversEnded) + " backend servers crashed while running this request",
            entry->until - context_.now() });
    return true;
}

BudgetRef ProxyRequests::budgetOf(const ProxyRequest& request) const
{
    return { request.accountId(), prepaidBudget() };
}

RequestKey ProxyRequests::keyOf(const ProxyRequest& request) const
{
    return { context_.self().value(), request.id.value() };
}

void ProxyRequests::reserveTokens(ProxyRequest& request)
{
    if (request.maxCost <= Tokens {}) {
        selectBackend(request);
        return;
    }
    auto result = ledgers_.of(request.accountId()).reserve(budgetOf(request), keyOf(request), request.maxCost);
    if (auto* reservation = std::get_if<ledger::Reservation>(&result)) {
        request.reservation = std::move(*reservation);
        removeFromTokenQueue(request);
        selectBackend(request);
        return;
    }
    const auto& shortage = std::get<ledger::Shortage>(result);
    if (shortage.pending && context_.now() - request.phaseStart < tokenWaitLimit(request)) {
        tokenQueues_[budgetOf(request)].insert(request.id);
        return;
    }
    // 402 (budget exhausted) is allowed only when it is certain, because callers don't retry after it. Tokens that
    // another router holds may become available here soon, and so may a total that the ledger doesn't have yet.
    const bool exhausted = shortage.reason == ledger::ShortReason::BudgetExhausted && totalIsKnown(request);
    const Duration retryAfter = std::max(shortage.retryAfter, minTokenRetryAfter);
    refuse(request,
        { exhausted ? 402 : 503, exhausted ? "budget_exhausted" : "budget_elsewhere",
            "maximum cost in tokens: " + std::to_string(request.maxCost.value()), retryAfter, knownBudget(request) });
}

// During an outage of the log, routers lend each other tokens, and few loans are large enough. With one wait limit for
// all routes, callers with an objective of 200 ms were refused only after 600 ms, visible as refusals that all come
// after that time. Once the objective has passed the answer would be late in any case, so an early refusal that the
// caller can retry is better.
Duration ProxyRequests::tokenWaitLimit(const ProxyRequest& request) const
{
    return std::clamp<Duration>(request.route->objective, minTokenWait, maxTokenWait);
}

bool ProxyRequests::totalIsKnown(const ProxyRequest& request) const
{
    const auto figures = ledgers_.of(request.accountId()).fold().budget(budgetOf(request));
    // The request's own configuration may be older than the newest one.
    const fleet::Account* const account = fleet_.routes()->accountOf(request.info.key);
    return fleet_.confirmed() && figures && account != nullptr
        && figures->bought >= account->budget.value_or(Tokens {});
}

KnownBudget ProxyRequests::knownBudget(const ProxyRequest& request) const
{
    const ShardLedger& shard = ledgers_.of(request.accountId());
    const auto figures = shard.fold().budget(budgetOf(request));
    return { figures.value_or(ledger::BudgetView {}), shard.fold().nextOffset(), shard.logInReach() };
}

void ProxyRequests::finishEvent()
{
    for (const BudgetRef& budget : std::exchange(replenishedBudgets_, {})) {
        retryWaitingFor(budget);
    }
}

// Skips requests that the spendable tokens can't cover. Without that, each bill read and each answer ended would cost
// one reservation attempt per waiting request. With a hundred of them the router would have no time left to read its
// own draws and the queue would grow; the symptom is a `read_to` field that stays the same while callers are refused.
void ProxyRequests::retryWaitingFor(const BudgetRef& budget)
{
    const auto queue = tokenQueues_.find(budget);
    if (queue == tokenQueues_.end()) {
        return;
    }
    const ledger::Holder& holder = ledgers_.of(budget.account).holder();
    // In order of arrival; requests with a smaller maximum cost may fit although an earlier one does not.
    const std::vector<CallId> waiting(queue->second.begin(), queue->second.end());
    Tokens spendable = holder.spendable(budget);
    for (const CallId id : waiting) {
        if (spendable <= Tokens {}) {
            return;
        }
        ProxyRequest* request = find(id);
        if (request == nullptr || request->maxCost > spendable) {
            continue;
        }
        reserveTokens(*request);
        spendable = holder.spendable(budget);
    }
}

void ProxyRequests::retryAllWaitingForTokens()
{
    std::vector<CallId> waiting;
    for (const auto& [budget, queue] : tokenQueues_) {
        waiting.insert(waiting.end(), queue.begin(), queue.end());
    }
    for (const CallId id : waiting) {
        if (ProxyRequest* request = find(id)) {
            reserveTokens(*request);
        }
    }
}

void ProxyRequests::removeFromTokenQueue(const ProxyRequest& request)
{
    const auto queue = tokenQueues_.find(budgetOf(request));
    if (queue == tokenQueues_.end() || queue->second.erase(request.id) == 0) {
        return;
    }
    if (queue->second.empty()) {
        tokenQueues_.erase(queue);
    }
}

void ProxyRequests::tick()
{
    expire();
    billUncounted();
    if (context_.now() >= nextTokenRetry_) {
        nextTokenRetry_ = context_.now() + tokenRetryPeriod;
        retryAllWaitingForTokens();
    }
    for (const auto& [service, state] : services_) {
        dispatchWaiting(service);
    }
}

void ProxyRequests::enterPhase(ProxyRequest& request, ProxyPhase phase)
{
    request.phase = phase;
    request.phaseStart = context_.now();
}

ProxyRequests::ServiceState& ProxyRequests::serviceState(const ProxyRequest& request)
{
    return services_
        .try_emplace(request.service->name,
            ServiceState {
                routing::Admission(maxWaiting), routing::RetryShare(context_.settings().retries, startedAt_) })
        .first->second;
}

ProxyRequest* ProxyRequests::find(CallId id)
{
    const auto found = proxyRequests_.find(id);
    return found == proxyRequests_.end() ? nullptr : found->second.get();
}

ProxyRequest* ProxyRequests::findByAttempt(AttemptId attempt)
{
    const auto found = callByAttempt_.find(attempt);
    return found == callByAttempt_.end() ? nullptr : find(found->second);
}

} // namespace swiftlift::node
