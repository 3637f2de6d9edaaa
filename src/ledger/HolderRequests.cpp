#include <algorithm>
#include <cassert>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** How long a request waits for a draw or for returns of other holders before it is refused. */
    constexpr Duration maxTokenWait = 2s;
    /** Retry delay while a draw, raise, loan or return is in flight, and for a retired incarnation. */
    constexpr Duration retrySoon = 100ms;
    /** A draw is overdue after this multiple of the recent draw latency. */
    constexpr int drawTimeoutFactor = 2;
    /** Lower bound of the draw timeout: latency of a batched append and of reading it back, under light load. */
    constexpr Duration minDrawTimeout = 200ms;
    /**
     * Upper bound of the draw timeout: twice the shortest latency objective of a stream. After that, most answers would
     * be late anyway.
     */
    constexpr Duration maxDrawTimeout = 400ms;
    /** Retry delay when other grants hold the budget's tokens. */
    constexpr Duration retryElsewhere = 1s;
    /** Retry delay while the log is unreachable. */
    constexpr Duration retryOutage = 2s;
    /** Retry delay when the budget has too few unbilled tokens. */
    constexpr Duration retryExhausted = 10s;

} // namespace

HolderBudgetState& HolderImpl::budgetStateOf(const BudgetRef& budget)
{
    const auto [found, isNew] = budgetStates_.try_emplace(budget);
    if (isNew) {
        found->second.homes = BudgetHomes(budget, environment_.domains, self_);
        for (const GrantView& grant : fold_->openGrants()) {
            if (grant.budget == budget && grant.id.holder != self_)
                found->second.recordSharer(grant.id.holder, now_);
        }
    }
    return found->second;
}

std::variant<Reservation, Shortage> HolderImpl::reserve(
    const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions)
{
    assert(amount > Tokens {} && "a request reserves more than zero tokens");
    now_ = now;
    firstRequestAt_ = firstRequestAt_.value_or(now);
    HolderBudgetState& budgetState = budgetStateOf(budget);
    const bool isNew = budgetState.waitingRequests.add(key, amount, now);
    if (isNew)
        budgetState.demand.record(amount, now);
    std::optional<Reservation> reservation = tryReserve(budget, budgetState, key, amount);
    if (reservation)
        budgetState.waitingRequests.remove(key);
    // A retry adds no demand, and ticks and effects already process the waiting request.
    if (isNew || reservation) {
        updateBudget(budget, budgetState, actions);
        flushRaises(actions);
    }
    if (reservation)
        return *reservation;
    return describeShortage(budget, budgetState, key, amount);
}

// Refused requests are withdrawn: otherwise each refused try of a caller would count as demand and stay among the
// waiting requests, and the router would draw many times what its callers use. Symptom: one holder draws half of the
// remaining budget again and again, hardly any of it is billed, and all of it is lost if the holder fails.
void HolderImpl::withdraw(const BudgetRef& budget, RequestKey key, Instant now)
{
    const auto budgetState = budgetStates_.find(budget);
    if (budgetState == budgetStates_.end())
        return;
    if (const auto request = budgetState->second.waitingRequests.remove(key))
        budgetState->second.demand.withdraw(request->amount, request->since, now);
}

Tokens HolderImpl::spendable(const BudgetRef& budget) const
{
    Tokens largest;
    const auto found = budgetStates_.find(budget);
    if (retired_ || found == budgetStates_.end())
        return largest;
    for (const std::uint64_t number : found->second.loans) {
        if (const BorrowedLoan& loan = loans_.at(number); isBillSafe(loan))
            largest = std::max(largest, loan.free());
    }
    for (const std::uint32_t number : found->second.grants) {
        if (const HolderGrant& grant = grants_.at(number); !isBillAtRisk(grant))
            largest = std::max(largest, grant.free());
    }
    return largest;
}

bool HolderImpl::isBillSafe(const BorrowedLoan& loan) const
{
    return loan.holderOnly() || environment_.logReachable || !policy_->witnessesClose();
}

// Uses loans first, so that they are returned early; then the holder's grants, oldest first, so that few stay open.
std::optional<Reservation> HolderImpl::tryReserve(
    const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount)
{
    if (retired_)
        return {};
    for (const std::uint64_t number : budgetState.loans) {
        BorrowedLoan& loan = loans_.at(number);
        if (loan.free() < amount || !isBillSafe(loan))
            continue;
        loan.reserve(amount, now_);
        return Reservation { key, budget, loan.grant(), amount, number };
    }
    for (const std::uint32_t number : budgetState.grants) {
        HolderGrant& grant = grants_.at(number);
        if (grant.free() < amount || isBillAtRisk(grant))
            continue;
        grant.reserve(amount);
        return Reservation { key, budget, grant.id(), amount };
    }
    return {};
}

Shortage HolderImpl::describeShortage(
    const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount) const
{
    Shortage shortage;
    shortage.pending = mayStillBeCovered(budget, budgetState, key, amount);
    if (isExhausted(budget, amount))
        shortage.reason = ShortReason::BudgetExhausted;
    if (shortage.pending || retired_)
        shortage.retryAfter = retrySoon;
    else if (!environment_.logReachable)
        shortage.retryAfter = retryOutage;
    else
        shortage.retryAfter = shortage.reason == ShortReason::BudgetExhausted ? retryExhausted : retryElsewhere;
    return shortage;
}

bool HolderImpl::mayStillBeCovered(
    const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount) const
{
    // No draw, raise or loan can cover more than the budget has left, so the request is refused at once.
    if (retired_ || (environment_.logReachable && isExhausted(budget, amount)))
        return false;
    if (isLoanAnswerPending(budgetState) || isRaisePending(budgetState, amount))
        return true;
    if (!environment_.logReachable || now_ - budgetState.waitingRequests.since(key, now_) > maxTokenWait)
        return false;
    const bool drawCovers = budgetState.pendingDraw && budgetState.pendingDrawAmount >= amount
        && now_ - budgetState.pendingDrawSince <= drawTimeout();
    // Other holders return tokens as soon as they read the shortage signal. A longer wait would hold callers until
    // their deadlines for nothing. If the previous signal brought nothing, the tokens are at holders that can't return
    // them, and only the first few callers wait. Without this, 1,096 refusals within two days came 400 ms late, while
    // no tokens were left outside grants.
    const bool returnsPending = budgetState.shortageSignals.isAnswerPending(now_, policy_->maxReturnWait());
    return drawCovers || returnsPending;
}

// Requests that arrive while a draw is overdue are refused at once, with a time to retry. Otherwise, while the log is
// slow or has a backlog of bills, each request would wait for a draw as long as allowed and be refused with its time
// used up. Symptom: all refusals come after the same wait.
Duration HolderImpl::drawTimeout() const
{
    return std::clamp(drawLatency_ * drawTimeoutFactor, minDrawTimeout, maxDrawTimeout);
}

bool HolderImpl::isExhausted(const BudgetRef& budget, Tokens amount) const
{
    const std::optional<BudgetView> view = fold_->budget(budget);
    return !view || view->bought - view->billed < amount;
}

void HolderImpl::preallocate(const BudgetRef& budget) { budgetStateOf(budget).preallocated = true; }

void HolderImpl::setWeighting(const BudgetRef& budget, Weighting weighting)
{
    budgetStateOf(budget).weighting = weighting;
}

bool HolderImpl::isHolderOnly(const Reservation& reservation) const
{
    if (reservation.loan != 0) {
        const auto found = loans_.find(reservation.loan);
        return found != loans_.end() && found->second.holderOnly();
    }
    const auto found = grants_.find(reservation.grant.number);
    return found != grants_.end() && (found->second.holderOnly() || found->second.witness() == Incarnation {});
}

bool HolderImpl::borrowsFrom(const GrantId& grant) const
{
    return std::ranges::any_of(loans_, [&](const auto& entry) { return entry.second.grant() == grant; });
}

void HolderImpl::settle(const Reservation& reservation, Tokens actual, LedgerActions& actions)
{
    assert(actual <= reservation.amount && "no request costs more than its reservation");
    if (reservation.loan != 0)
        settleLoan(reservation, actual, actions);
    else
        settleGrant(reservation, actual, actions);
    if (actual < reservation.amount)
        actions.emplace_back(TokensAvailable { reservation.budget });
    if (const auto budgetState = budgetStates_.find(reservation.budget); budgetState != budgetStates_.end())
        updateBudget(budgetState->first, budgetState->second, actions);
    flushRaises(actions);
}

// H7: the bill is emitted in the call that ends the reservation, so it lands before any later return or close of the
// grant.
void HolderImpl::settleGrant(const Reservation& reservation, Tokens actual, LedgerActions& actions)
{
    const auto found = grants_.find(reservation.grant.number);
    assert(reservation.grant.holder == self_ && "a reservation names the lender's grant or an own one");
    if (actual > Tokens {})
        actions.emplace_back(AppendEntry { Bill { reservation.key, reservation.grant, actual } });
    // The witness closed the grant while this process was suspended. The ledger will refuse the bill, and the caller
    // gets that result.
    if (found == grants_.end())
        return;
    found->second.settle(reservation.amount, actual);
}

void HolderImpl::settleLoan(const Reservation& reservation, Tokens actual, LedgerActions& actions)
{
    const auto found = loans_.find(reservation.loan);
    assert(found != loans_.end() && "a loan with a reservation is not done");
    if (actual > Tokens {})
        actions.emplace_back(AppendEntry { Bill { reservation.key, reservation.grant, actual } });
    found->second.settle(reservation.key, reservation.amount, actual);
}

} // namespace swiftlift::ledger::internal
