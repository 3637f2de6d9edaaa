#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "node/ProxyRequests.h"

namespace swiftlift::node {

namespace {

    constexpr int statusTooMany = 429;
    constexpr int statusBadGateway = 502;
    constexpr int statusUnavailable = 503;

} // namespace

void ProxyRequests::complete(ProxyRequest& passage, const ProxyAttemptEnded& ended)
{
    passage.runs += 1;
    const Tokens billed = settle(passage, usedWhole(passage));
    context_.log(LogLineBuilder("answered")
                     .with("request", passage.facts.id)
                     .with("account", passage.accountId().value())
                     .with("backend", passage.backend.value())
                     .with("status", static_cast<std::int64_t>(ended.status))
                     .with("events", static_cast<std::int64_t>(passage.events))
                     .with("billed", billed.value())
                     .with("first_ms", toMilliseconds(passage.firstEventAt.value_or(context_.now()) - passage.arrived))
                     .with("took_ms", toMilliseconds(context_.now() - passage.arrived)));
    context_.count("swiftlift_answers_total");
    end(passage);
}

void ProxyRequests::passFailureOn(ProxyRequest& passage, const std::string& why)
{
    context_.log(LogLineBuilder("failure_passed_on")
                     .with("request", passage.facts.id)
                     .with("account", passage.accountId().value())
                     .with("backend", passage.backend.value())
                     .with("not_repeated", why)
                     .with("took_ms", toMilliseconds(context_.now() - passage.arrived)));
    context_.count("swiftlift_failures_passed_on_total");
    context_.emit(ProxyFailureReply { passage.id });
    endOnceCounted(passage, passage.attempt);
}

void ProxyRequests::giveUp(ProxyRequest& passage, const ProxyRefusal& why)
{
    const AttemptId attempt = passage.attempt;
    const bool running = passage.phase == ProxyPhase::Running && attempt != AttemptId {};
    passage.runs += running ? 1 : 0;
    cancelAttempt(passage);
    const Outcome outcome = passage.runs > 0 ? Outcome::Unknown : Outcome::NotRun;
    ProxyRefusal told = why;
    // These statuses say that a request has not run. Of one that may have run, that would be a lie.
    if (passage.runs > 0 && (why.status == statusTooMany || why.status == statusUnavailable)) {
        told.status = statusBadGateway;
    }
    logRefusal(told,
        LogLineBuilder("refuse")
            .with("request", passage.facts.id)
            .with("account", passage.accountId().value())
            .with("config", static_cast<std::int64_t>(passage.table->config().version))
            .with("outcome", toText(outcome))
            .with("after_ms", toMilliseconds(context_.now() - passage.arrived)));
    context_.emit(Reply { passage.id, outcome, told.status, told.reason, told.detail, told.retryAfter, Tokens {} });
    endOnceCounted(passage, attempt);
}

// What goes wrong when a request that was offered to a backend server is billed as it is given up: events that the
// transport passes on at that moment are not known here yet, and nobody pays for them; billed at its most instead, its
// caller pays for what it never got. One notices by bills of a whole reservation beside streams that ended early. What
// was passed on until the transport cuts the answer, only the transport knows; the reservation is kept until it says
// so.
void ProxyRequests::endOnceCounted(ProxyRequest& passage, AttemptId attempt)
{
    if (passage.offers == 0 || !passage.reservation) {
        settle(passage, {});
        end(passage);
        return;
    }
    const CallId id = passage.id;
    cut_.emplace(id, CutAnswer { remove(passage), attempt, context_.now() + countPatience });
}

void ProxyRequests::billAbandoned(const ProxyRequestAbandoned& abandoned)
{
    if (const auto cut = cut_.find(abandoned.call); cut != cut_.end()) {
        ProxyRequest& passage = *cut->second.passage;
        passage.events = std::max(passage.events, abandoned.events);
        billCut(cut, used(passage));
    }
}

void ProxyRequests::billEnded(const ProxyAttemptEnded& ended)
{
    const auto cut = std::ranges::find(cut_, ended.attempt, [](const auto& entry) { return entry.second.attempt; });
    if (cut != cut_.end()) {
        ProxyRequest& passage = *cut->second.passage;
        passage.events = std::max(passage.events, ended.events);
        billCut(cut, ended.end == ProxyAttemptEnd::Completed ? usedWhole(passage) : used(passage));
    }
}

void ProxyRequests::billUncounted()
{
    for (auto cut = cut_.begin(); cut != cut_.end();) {
        const auto next = std::next(cut);
        if (context_.now() >= cut->second.billedAtMost) {
            billCut(cut, cut->second.passage->cost);
        }
        cut = next;
    }
}

void ProxyRequests::billCut(CutAnswers::iterator cut, Tokens actual)
{
    ProxyRequest& passage = *cut->second.passage;
    if (const Tokens billed = settle(passage, actual); billed > Tokens {}) {
        context_.log(LogLineBuilder("cut_billed")
                         .with("request", passage.facts.id)
                         .with("account", passage.accountId().value())
                         .with("events", static_cast<std::int64_t>(passage.events))
                         .with("billed", billed.value()));
    }
    cut_.erase(cut);
}

void ProxyRequests::logRefusal(const ProxyRefusal& why, LogLineBuilder line)
{
    line = line.with("status", static_cast<std::int64_t>(why.status))
               .with("reason", why.reason)
               .with("detail", why.detail)
               .with("retry_after_ms", why.retryAfter ? toMilliseconds(*why.retryAfter) : -1);
    if (why.budget) {
        line = line.with("bought", why.budget->figures.bought.value())
                   .with("billed", why.budget->figures.billed.value())
                   .with("held", why.budget->figures.held.value())
                   .with("read_to", static_cast<std::int64_t>(why.budget->readTo.value()))
                   .with("log_in_reach", why.budget->logInReach);
    }
    context_.log(line);
    context_.count("swiftlift_refusals_total", { { "reason", why.reason } });
}

void ProxyRequests::onAbandoned(const ProxyRequestAbandoned& abandoned)
{
    ProxyRequest* passage = find(abandoned.call);
    if (passage == nullptr) {
        billAbandoned(abandoned);
        return;
    }
    passage->events = std::max(passage->events, abandoned.events);
    const ServiceName service = passage->service->name;
    passage->runs += passage->phase == ProxyPhase::Running ? 1 : 0;
    cancelAttempt(*passage);
    const Tokens billed = settle(*passage, used(*passage));
    context_.log(LogLineBuilder("caller_gone")
                     .with("request", passage->facts.id)
                     .with("account", passage->accountId().value())
                     .with("events", static_cast<std::int64_t>(passage->events))
                     .with("billed", billed.value())
                     .with("after_ms", toMilliseconds(context_.now() - passage->arrived)));
    end(*passage);
    pump(service);
}

void ProxyRequests::cancelAttempt(ProxyRequest& passage)
{
    if (passage.phase != ProxyPhase::Running || passage.attempt == AttemptId {}) {
        return;
    }
    context_.emit(CancelAttempt { passage.attempt });
    closeAttempt(passage, routing::EndKind::Cancelled);
}

void ProxyRequests::closeAttempt(ProxyRequest& passage, routing::EndKind kind)
{
    backends_.onFinished(passage.backend, passage.attempt, { kind, Tokens {}, Tokens {} }, context_.now());
    byAttempt_.erase(passage.attempt);
    passage.excluded.insert(passage.backend);
    passage.attempt = AttemptId {};
}

// What the account was given: of the answer what was passed on, and the prompt once, with the first event of it.
// What goes wrong when the prompt counts as soon as a backend server has the request: callers who leave before the
// first event, and requests that fail or break off there, pay for nothing. One notices by `caller_gone` lines
// with 0 events and a bill, and by accounts that are refused with 402 though they were given less than they
// bought.
Tokens ProxyRequests::used(const ProxyRequest& passage) const
{
    if (passage.events == 0) {
        return {};
    }
    const std::uint64_t perEvent = passage.service->engine ? passage.service->engine->tokensPerEvent : 1;
    const Tokens answer { static_cast<std::int64_t>(passage.events * perEvent) };
    return passage.facts.promptTokens + std::min(answer, passage.facts.maxAnswerTokens);
}

// How many tokens a whole body is, nobody here can tell; it is billed at its most.
Tokens ProxyRequests::usedWhole(const ProxyRequest& passage) const
{
    return passage.route->answer == fleet::AnswerKind::Whole ? passage.cost : used(passage);
}

Tokens ProxyRequests::settle(ProxyRequest& passage, Tokens actual)
{
    if (!passage.reservation) {
        return {};
    }
    ShardLedger& shard = ledgers_.of(passage.accountId());
    const Tokens billed = std::min(actual, passage.reservation->amount);
    if (billed > Tokens {}) {
        (void)shard.settle(*passage.reservation, billed);
    } else {
        shard.release(*passage.reservation);
    }
    passage.reservation.reset();
    return billed;
}

void ProxyRequests::end(ProxyRequest& passage)
{
    if (passage.phase == ProxyPhase::WaitingForMoney && passage.cost > Tokens {}) {
        leaveMoneyLine(passage);
        ledgers_.of(passage.accountId()).withdraw(budgetOf(passage), keyOf(passage));
    }
    (void)remove(passage);
}

std::unique_ptr<ProxyRequest> ProxyRequests::remove(ProxyRequest& passage)
{
    if (passage.service != nullptr) {
        stateOf(passage).admission.queue().remove(passage.id);
    }
    return std::move(proxyRequests_.extract(passage.id).mapped());
}

void ProxyRequests::expire()
{
    std::vector<std::pair<CallId, ProxyRefusal>> over;
    for (auto& [service, state] : services_) {
        for (const CallId id : state.admission.expire(context_.now())) {
            over.push_back({ id, { 503, "deadline_too_short", "waited as long as it could", defaultRetryAfter } });
        }
    }
    for (const auto& [id, passage] : proxyRequests_) {
        if (context_.now() < passage->deadline) {
            continue;
        }
        const bool running = passage->phase == ProxyPhase::Running || passage->runs > 0;
        over.push_back({ id, { running ? 504 : 503, "deadline_passed", "", std::nullopt } });
    }
    for (const auto& [id, why] : over) {
        if (ProxyRequest* passage = find(id)) {
            giveUp(*passage, why);
        }
    }
}

} // namespace swiftlift::node
