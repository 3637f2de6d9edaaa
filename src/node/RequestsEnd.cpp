#include <algorithm>
#include <utility>

#include "node/Requests.h"

namespace swiftlift::node {

using request::Outcome;

void Requests::complete(Call& call, const AttemptEnded& ended)
{
    call.billed = call.isModel() ? call.request.promptTokens + call.delivered : call.cost;
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
            = shards_(call.request.account).billState(call.billSequence, call.billedGrant, call.isHolderOnly, waited);
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

void Requests::logBill(const Call& call, bool secured) const
{
    if (call.billSequence == 0) {
        return;
    }
    const ShardLedger& shard = shards_(call.request.account);
    const BillReplicas keepers = shard.replicasOf(call.billSequence);
    context_.log(LogLineBuilder("bill")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("stream", shard.stream().value())
                     .with("sequence", static_cast<std::int64_t>(call.billSequence))
                     .with("grant", toText(call.billedGrant))
                     .with("secured", secured)
                     .with("landed", keepers.landed)
                     .with("near_keeper", keepers.near ? toHex(keepers.near->value()) : "")
                     .with("distant_keepers", toHex(keepers.distant))
                     .with("waited_ms", toMilliseconds(context_.now() - call.since)));
}

void Requests::answer(Call& call, bool secured)
{
    logBill(call, secured);
    if (!secured) {
        // The bill is in this process alone: should it die before the log is back, the request stays unbilled. The
        // account can't overspend by it, since the grant stays held; the caller is not made to wait for the platform.
        context_.log(LogLineBuilder("bill_unsecured").with("request", call.request.id.value()));
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
    context_.log(LogLineBuilder("refuse")
                     .with("request", call.request.id.value())
                     .with("account", call.request.account.value())
                     .with("service", call.request.service.value())
                     .with("outcome", toText(outcome))
                     .with("reason", why.reason)
                     .with("detail", why.detail)
                     .with("after_ms", toMilliseconds(context_.now() - call.arrived)));
    context_.count("swiftlift_refusals_total", { { "reason", why.reason } });
    context_.emit(Reply { call.id, outcome, why.status, why.reason, why.detail, why.retryAfter, Tokens {} });
    end(call, outcome, why.reason, Tokens {});
}

void Requests::end(Call& call, Outcome outcome, const std::string& reason, Tokens billed)
{
    if (call.phase == Phase::WaitingForMoney && call.cost > Tokens {}) {
        shards_(call.request.account).withdraw({ call.request.account, call.use.budget }, call.request.key);
    }
    const RequestKey key = call.request.key;
    if (table_.end(key, outcome, reason, billed)) {
        shards_(call.request.account).append(ledger::VoidClaim { key });
    }
    stateOf(call).admission.queue().remove(call.id);
    byKey_.erase(key);
    calls_.erase(call.id);
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

} // namespace swiftlift::node
