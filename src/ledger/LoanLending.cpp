#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    /**
     * A loan below the largest recent request divided by this covers hardly any request: sizes of prompts spread over
     * two orders of magnitude, with a mean of an eighth of the largest.
     */
    constexpr std::int64_t minLoanDivisor = 16;
    /** Time without the witness's answer after which a loan request is decided without its acknowledgement. */
    constexpr Duration witnessTimeout = 500ms;

} // namespace

// H11: a repeated request gets the first answer. A second loan would stay lent forever, since the borrower has a record
// of only one.
void HolderImpl::onLoanAsk(
    Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now, LedgerActions& actions)
{
    now_ = now;
    std::optional<LoanAnswer> answer = loanAnswers_.find(from, loan);
    if (!answer) {
        answer = decideLoan(from, budget, amount);
        flushRaises(actions);
        if (!answer)
            return;
        loanAnswers_.record(from, loan, *answer);
    }
    if (answer->amount > none && !answer->done)
        actions.emplace_back(SendLoanGiven { from, loan, budget, answer->grant, answer->amount, answer->holderOnly });
    else
        actions.emplace_back(SendLoanDenied { from, loan, budget, answer->free });
}

std::optional<LoanAnswer> HolderImpl::decideLoan(Incarnation borrower, const BudgetRef& budget, Tokens amount)
{
    const auto found = budgetStates_.find(budget);
    if (isLeaving() || found == budgetStates_.end() || amount <= none)
        return LoanAnswer {};
    HolderBudgetState& budgetState = found->second;
    const bool holdsForOthers = budgetState.homes.shared() && budgetState.homes.isHome();
    if (holdsForOthers)
        budgetState.demand.noteLargest(amount, now_);
    const BudgetSituation situation = situationOf(budget, budgetState);
    const Tokens lendable = holdsForOthers ? situation.free : std::max(policy_->lendable(situation), none);
    HolderGrant* const grant = grantToLend(budgetState);
    const Tokens offered = grant ? std::min({ amount, lendable, grant->remainder() }) : none;
    // A loan that fits no request is denied. Otherwise, at the end of an outage, every lender would lend the few
    // hundred tokens that it has left, and the borrower would return them and ask the next lender, 90 times a second.
    const bool useful = offered >= Tokens { std::min(amount, situation.largest).value() / minLoanDivisor };
    if (offered == none || !useful)
        return LoanAnswer { {}, {}, lendable };
    if (grant->free() < offered && !grant->isChangingWitness() && !isWitnessSilent(*grant, witnessTimeout)) {
        raiseCeiling(*grant, policy_->headroom(situation) + offered, offered);
        return {};
    }
    const Tokens given = std::min(offered, grant->free());
    if (given == none)
        return LoanAnswer {};
    // A borrower's bills are not ordered with this holder's entries: a witness named later could close the grant before
    // they land.
    if (grant->witness() == Incarnation {})
        grant->makeHolderOnly();
    grant->lend(borrower, given);
    if (holdsForOthers)
        budgetState.demand.record(given, now_);
    return LoanAnswer { grant->id(), given, lendable - given, false, grant->holderOnly() };
}

HolderGrant* HolderImpl::grantToLend(const HolderBudgetState& budgetState)
{
    HolderGrant* best = nullptr;
    for (const std::uint32_t number : budgetState.grants) {
        HolderGrant& grant = grants_.at(number);
        // In an outage the borrower's bills can't land, so only grants that no witness can close are lent from.
        const bool closable = policy_->witnessesClose() && grant.witness() != Incarnation {} && !grant.holderOnly();
        if (!environment_.logReachable && closable)
            continue;
        if (!best || grant.remainder() > best->remainder())
            best = &grant;
    }
    return best;
}

// A LoanDone is recorded even if its loan request has not arrived, so that the request is denied if it arrives late:
// its borrower has abandoned it and would never return the tokens.
void HolderImpl::onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions)
{
    now_ = now;
    LoanAnswer answer = loanAnswers_.find(from, loan).value_or(LoanAnswer {});
    const bool wasOpen = answer.amount > none && !answer.done;
    answer.done = true;
    loanAnswers_.record(from, loan, answer);
    actions.emplace_back(SendLoanDoneAcked { from, loan });
    if (!wasOpen)
        return;
    const auto found = grants_.find(answer.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    grant.finishLoan(from, answer.amount, billed);
    actions.emplace_back(TokensAvailable { grant.budget() });
    updateBudget(grant.budget(), budgetStateOf(grant.budget()), actions);
    flushRaises(actions);
}

} // namespace swiftlift::ledger::internal
