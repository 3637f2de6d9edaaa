#include <algorithm>
#include <utility>

#include "node/Requests.h"

namespace swiftlift::node {

using request::Outcome;

void Requests::complete(Call& call, const AttemptEnded& ended)
{
    call.billed = call.isModel() ? call.request.promptTokens + call.delivered : call.maxCost;
    if (call.reservation) {
        call.billedGrant = call.reservation->grant;
        call.isHolderOnly = shards_(call.request.account).isHolderOnly(*call.reservation);
    }
    call.billSequence = settle(call, call.billed);
    context_.log(LogLineBuilder("answered")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("backend", call.backend.value())
                     .with("billed", call.billed.value())
                     .with("cached_prompt_tokens", ended.cachedPromptTokens.value())
                     .with("took_ms", toMilliseconds(context_.now() - call.arrived)));
    context_.count("swiftlift_billed_tokens_total", { { "account", call.request.account.value() } },
        static_cast<double>(call.billed.value()));
    enterPhase(call, CallPhase::SecuringBill);
    if (call.billSequence == 0) {
        answer(call, true);
    } else {
        shards_(call.request.account).flush();
    }
}

void Requests::answerBilledCalls()
{
    std::vector<CallId> waiting;
    for (const auto& [id, call] : calls_) {
        if (call->phase == CallPhase::SecuringBill) {
            waiting.push_back(id);
        }
    }
    for (const CallId id : waiting) {
        Call& call = *find(id);
        const Duration waited = context_.now() - call.phaseStart;
        const BillState state
            = shards_(call.request.account).billState(call.billSequence, call.billedGrant, call.isHolderOnly, waited);
        if (state == BillState::Secured) {
            answer(call, true);
        } else if (state == BillState::Alone && waited >= billCopyTimeout) {
            answer(call, false);
        } else if (state == BillState::Refused || (state == BillState::Pending && waited >= billDecisionTimeout)) {
            onBillRefused(call);
        }
    }
}

void Requests::onBillRefused(Call& call)
{
    // The ledger refuses a bill if this process was paused and its witness has closed the grant meanwhile, so that the
    // tokens of this answer may already be spent again. The outcome is reported as unknown, as for an answer that broke
    // off.
    table_.attemptEnded(call.request.key, AttemptEnd::Broken);
    refuse(call, { 502, "bill_refused", "the ledger did not accept the bill", defaultRetryAfter });
}

void Requests::logBill(const Call& call, bool secured) const
{
    if (call.billSequence == 0) {
        return;
    }
    const ShardLedger& shard = shards_(call.request.account);
    const BillReplicas replicas = shard.replicasOf(call.billSequence);
    context_.log(LogLineBuilder("bill")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("stream", shard.stream().value())
                     .with("sequence", static_cast<std::int64_t>(call.billSequence))
                     .with("grant", toText(call.billedGrant))
                     .with("secured", secured)
                     .with("landed", replicas.landed)
                     .with("near_keeper", replicas.near ? toHex(replicas.near->value()) : "")
                     .with("distant_keepers", toHex(replicas.distant))
                     .with("waited_ms", toMilliseconds(context_.now() - call.phaseStart)));
}

void Requests::answer(Call& call, bool secured)
{
    logBill(call, secured);
    if (!secured) {
        // The bill exists only in this process: if the process ends before the log is reachable again, the request
        // stays unbilled. The account can't overspend through that, since its grant stays held, and the caller need not
        // wait for the log.
        context_.log(LogLineBuilder("bill_unsecured").with("request", call.request.id.value()));
        context_.count("swiftlift_bills_unsecured_total");
    }
    // If the request was already billed, by another router or when its caller disconnected, that bill stays valid.
    const auto earlierBill = shards_(call.request.account).fold().billed(call.request.key);
    call.billed = earlierBill.value_or(call.billed);
    Reply reply;
    reply.call = call.id;
    reply.outcome = Outcome::Answered;
    reply.billed = call.billed;
    context_.emit(std::move(reply));
    end(call, Outcome::Answered, "answered", call.billed);
}

Tokens Requests::forwardedTokens(const Call& call) const
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

void Requests::refuse(Call& call, const Refusal& refusal)
{
    cancelAttempt(call);
    const Outcome outcome = table_.outcomeIfGivenUp(call.request.key);
    // A refused request costs nothing. If the streamed part were billed and the caller retried, the ledger would keep
    // that first bill while the answer states the bill for the whole answer.
    settle(call, Tokens {});
    context_.log(LogLineBuilder("refuse")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("service", call.request.service.value())
                     .with("outcome", toText(outcome))
                     .with("reason", refusal.reason)
                     .with("detail", refusal.detail)
                     .with("after_ms", toMilliseconds(context_.now() - call.arrived)));
    context_.count("swiftlift_refusals_total", { { "reason", refusal.reason } });
    context_.emit(
        Reply { call.id, outcome, refusal.status, refusal.reason, refusal.detail, refusal.retryAfter, Tokens {} });
    end(call, outcome, refusal.reason, Tokens {});
}

void Requests::end(Call& call, Outcome outcome, const std::string& reason, Tokens billed)
{
    if (call.phase == CallPhase::WaitingForTokens && call.maxCost > Tokens {}) {
        shards_(call.request.account).withdraw({ call.request.account, call.accountUse.budget }, call.request.key);
    }
    const RequestKey key = call.request.key;
    if (table_.end(key, outcome, reason, billed)) {
        shards_(call.request.account).append(ledger::VoidClaim { key });
    }
    serviceState(call).admission.queue().remove(call.id);
    callByKey_.erase(key);
    calls_.erase(call.id);
}

void Requests::expire()
{
    std::vector<std::pair<CallId, Refusal>> expired;
    for (auto& [service, state] : serviceStates_) {
        for (const CallId id : state.admission.expire(context_.now())) {
            expired.push_back({ id,
                { 503, "deadline_too_short", "the remaining time is too short for an answer", defaultRetryAfter } });
        }
    }
    for (const auto& [id, call] : calls_) {
        const bool claimLate
            = call->phase == CallPhase::WaitingForClaim && context_.now() - call->phaseStart >= claimTimeout;
        if (claimLate) {
            expired.push_back({ id,
                { 503, "claim_unavailable", "the claim was not read back from the log in time", defaultRetryAfter } });
        } else if (call->phase != CallPhase::SecuringBill && context_.now() >= call->deadline) {
            expired.push_back({ id, { 504, "deadline_passed", "", std::nullopt } });
        }
    }
    for (const auto& [id, refusal] : expired) {
        if (Call* call = find(id)) {
            refuse(*call, refusal);
        }
    }
}

} // namespace swiftlift::node
