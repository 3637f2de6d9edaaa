#include <algorithm>
#include <cassert>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    /** How long a request waits for what others may give back, or for a draw, before it is told no. */
    constexpr Duration patience = 2s;
    constexpr Duration retrySoon = 100ms;
    /** A draw that takes this many times as long as they did of late is not waited for. */
    constexpr int overdueFactor = 2;
    /** An append that gathers company, and its way back through the log, on a quiet day. */
    constexpr Duration leastDrawPatience = 200ms;
    /** Twice the shortest objective of a stream: later, most callers would have their answer late anyway. */
    constexpr Duration mostDrawPatience = 400ms;
    constexpr Duration retryElsewhere = 1s;
    constexpr Duration retryOutage = 2s;
    constexpr Duration retryExhausted = 10s;

} // namespace

HolderBudgetState& HolderImpl::deskOf(const BudgetRef& budget)
{
    const auto [found, isNew] = desks_.try_emplace(budget);
    if (isNew) {
        for (const GrantView& grant : fold_->openGrants()) {
            if (grant.budget == budget && grant.id.holder != self_)
                found->second.saw(grant.id.holder, now_);
        }
    }
    return found->second;
}

std::variant<Reservation, Shortage> HolderImpl::reserve(
    const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions)
{
    assert(amount > Tokens {} && "a request costs something");
    now_ = now;
    busySince_ = busySince_.value_or(now);
    HolderBudgetState& desk = deskOf(budget);
    const bool isNew = desk.wants.add(key, amount, now);
    if (isNew)
        desk.demand.note(amount, now);
    std::optional<Reservation> reservation = take(budget, desk, key, amount);
    if (reservation)
        desk.wants.remove(key);
    // What a repeat asks for is known since its first time, and each tick and effect works on it.
    if (isNew || reservation) {
        work(budget, desk, actions);
        flushRaises(actions);
    }
    if (reservation)
        return *reservation;
    return shortage(budget, desk, key, amount);
}

// What goes wrong otherwise: a caller's tries, each refused, count as demand each time, and what they asked for goes on
// waiting here. The router then draws for many times what its callers use. One notices by one holder's grants of half
// of what is left, one after the other, of which little is ever billed: all of it is lost with the holder.
void HolderImpl::withdraw(const BudgetRef& budget, RequestKey key, Instant now)
{
    const auto desk = desks_.find(budget);
    if (desk == desks_.end())
        return;
    if (const auto want = desk->second.wants.remove(key))
        desk->second.demand.withdraw(want->amount, want->since, now);
}

Tokens HolderImpl::spendable(const BudgetRef& budget) const
{
    Tokens most;
    const auto found = desks_.find(budget);
    if (retired_ || found == desks_.end())
        return most;
    for (const std::uint64_t number : found->second.loans) {
        if (const BorrowedLoan& loan = loans_.at(number); secure(loan))
            most = std::max(most, loan.free());
    }
    for (const std::uint32_t number : found->second.grants) {
        if (const HolderGrant& grant = grants_.at(number); !insecure(grant))
            most = std::max(most, grant.free());
    }
    return most;
}

bool HolderImpl::secure(const BorrowedLoan& loan) const
{
    return loan.holderOnly() || environment_.logReachable || !policy_->witnessesClose();
}

// Loans first, so that they are soon done; then own grants, oldest first, so that few stay open.
std::optional<Reservation> HolderImpl::take(
    const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount)
{
    if (retired_)
        return {};
    for (const std::uint64_t number : desk.loans) {
        BorrowedLoan& loan = loans_.at(number);
        if (loan.free() < amount || !secure(loan))
            continue;
        loan.reserve(amount, now_);
        return Reservation { key, budget, loan.grant(), amount, number };
    }
    for (const std::uint32_t number : desk.grants) {
        HolderGrant& grant = grants_.at(number);
        if (grant.free() < amount || insecure(grant))
            continue;
        grant.reserve(amount);
        return Reservation { key, budget, grant.id(), amount };
    }
    return {};
}

Shortage HolderImpl::shortage(
    const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount) const
{
    Shortage shortage;
    shortage.pending = mayStillCome(budget, desk, key, amount);
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

bool HolderImpl::mayStillCome(
    const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount) const
{
    // What the ledger has not, no draw, raise or loan can bring: it is refused at once.
    if (retired_ || (environment_.logReachable && isExhausted(budget, amount)))
        return false;
    if (loanAsked(desk) || raisePending(desk, amount))
        return true;
    if (!environment_.logReachable || now_ - desk.wants.since(key, now_) > patience)
        return false;
    const bool drawCovers = desk.drawing && desk.drawingWanted >= amount && now_ - desk.drawingSince <= drawPatience();
    // Whoever can give back does so as soon as it reads the signal. A second of waiting for it, and a caller with
    // little time is held to its deadline for nothing.
    // Where the last signal brought nothing, the money is where nobody can give it back, and only the first few callers
    // need find out by waiting: 1,096 refusals of two days came 400 ms late for it, with nothing left unheld.
    const bool othersWereTold = desk.signals.awaited(now_, policy_->returnPatience());
    return drawCovers || othersWereTold;
}

// What goes wrong otherwise: while the log is slow, or behind with bills, each request waits for a draw as long as its
// caller may be held, and is refused then, its time used up. One notices by refusals that all come after the same time.
// Whoever comes while a draw is overdue is told at once, with when to come back.
Duration HolderImpl::drawPatience() const
{
    return std::clamp(drawTook_ * overdueFactor, leastDrawPatience, mostDrawPatience);
}

bool HolderImpl::isExhausted(const BudgetRef& budget, Tokens amount) const
{
    const std::optional<BudgetView> view = fold_->budget(budget);
    return !view || view->bought - view->billed < amount;
}

void HolderImpl::preallocate(const BudgetRef& budget) { deskOf(budget).preallocated = true; }

void HolderImpl::setWeighting(const BudgetRef& budget, Weighting weighting) { deskOf(budget).weighting = weighting; }

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
    if (const auto desk = desks_.find(reservation.budget); desk != desks_.end())
        work(desk->first, desk->second, actions);
    flushRaises(actions);
}

// H7: the bill is emitted in the same call that stops counting the reservation, so it lands before any later return or
// close of the grant.
void HolderImpl::settleGrant(const Reservation& reservation, Tokens actual, LedgerActions& actions)
{
    const auto found = grants_.find(reservation.grant.number);
    assert(reservation.grant.holder == self_ && "a reservation names the lender's grant or an own one");
    if (actual > Tokens {})
        actions.emplace_back(AppendEntry { Bill { reservation.key, reservation.grant, actual } });
    // The witness has closed the grant while this process slept: the ledger refuses the bill, and the caller is told
    // so.
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
