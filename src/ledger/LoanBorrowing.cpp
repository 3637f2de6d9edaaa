#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    /** Time without an answer after which a loan request is abandoned. */
    constexpr Duration loanRequestTimeout = 500ms;
    /**
     * Time without an answer after which another lender is asked as well: a hundred round trips within a region, and a
     * tenth of the longest time that callers wait when tokens are short.
     */
    constexpr Duration slowLenderTimeout = 60ms;
    /** How long requests wait for a lender's answer: two rounds of loan requests, each with one retry. */
    constexpr Duration lenderAnswerTimeout = 200ms;
    /** Time without use after which a loan is returned. */
    constexpr Duration idleLoanTimeout = 3s;
    /** Time in flight after which a draw no longer prevents loan requests. */
    constexpr Duration slowDrawThreshold = 300ms;

} // namespace

void HolderImpl::borrow(
    const BudgetRef& budget, HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    if (budgetState.waitingRequests.empty())
        return;
    const bool isDrawSlow = budgetState.pendingDraw && now_ - budgetState.pendingDrawSince > slowDrawThreshold;
    const bool drawWillCover = situation.logReachable && situation.available >= situation.need && !isDrawSlow;
    if (retired_ || drawWillCover || situation.largestFree >= situation.need || hasRecentLoanRequest(budgetState))
        return;
    const Tokens size = policy_->loanSize(situation);
    if (size == none || environment_.lenders.empty() || !budgetState.lenderRotation.isDue(now_))
        return;
    const std::uint64_t number = ++lastLoan_;
    budgetState.loans.push_back(number);
    const Incarnation lender
        = environment_.lenders.at(budgetState.lenderRotation.nextLender(environment_.lenders.size(), now_));
    BorrowedLoan& loan = loans_.try_emplace(number, number, lender, budget, size, now_).first->second;
    if (loan.takeDueAttempt(now_))
        actions.emplace_back(SendLoanAsk { loan.lender(), number, budget, size });
}

void HolderImpl::advanceLoans(HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    for (const std::uint64_t number : budgetState.loans)
        advanceLoan(loans_.at(number), budgetState, situation, actions);
}

void HolderImpl::advanceLoan(
    BorrowedLoan& loan, const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    const Duration age = now_ - loan.lastUsedAt();
    switch (loan.state()) {
    case LoanState::Requested:
        if (age > loanRequestTimeout || retired_)
            endLoan(loan, actions);
        else if (loan.takeDueAttempt(now_))
            actions.emplace_back(SendLoanAsk { loan.lender(), loan.number(), loan.budget(), loan.requestedAmount() });
        return;
    case LoanState::Held: {
        const bool spent = loan.free() == none;
        const bool useless = budgetState.waitingRequests.empty() && loan.free() < situation.largest;
        const bool unused = age > idleLoanTimeout || (isLeaving() && budgetState.waitingRequests.empty());
        if (loan.reserved() == none && (spent || useless || unused || retired_))
            endLoan(loan, actions);
        return;
    }
    case LoanState::Ending:
        if (loan.takeDueAttempt(now_))
            actions.emplace_back(SendLoanDone { loan.lender(), loan.number(), loan.emittedBills() });
        return;
    }
}

// H10: nothing of the loan is spent from now on. An abandoned request ends in the same way, since its answer may have
// been lost: otherwise the lender would count the tokens as lent forever.
void HolderImpl::endLoan(BorrowedLoan& loan, LedgerActions& actions)
{
    loan.end(now_);
    if (loan.takeDueAttempt(now_))
        actions.emplace_back(SendLoanDone { loan.lender(), loan.number(), loan.emittedBills() });
}

void HolderImpl::removeLoan(std::uint64_t number)
{
    std::erase(budgetStateOf(loans_.at(number).budget()).loans, number);
    loans_.erase(number);
}

bool HolderImpl::isLoanAnswerPending(const HolderBudgetState& budgetState) const
{
    // Lenders are asked again every second. After a round that brought nothing, callers don't wait for the next one.
    if (budgetState.lenderRotation.previousRoundFailed())
        return false;
    return std::ranges::any_of(budgetState.loans, [&](std::uint64_t number) {
        const BorrowedLoan& loan = loans_.at(number);
        return loan.state() == LoanState::Requested && now_ - loan.lastUsedAt() < lenderAnswerTimeout;
    });
}

bool HolderImpl::hasRecentLoanRequest(const HolderBudgetState& budgetState) const
{
    return std::ranges::any_of(budgetState.loans, [&](std::uint64_t number) {
        const BorrowedLoan& loan = loans_.at(number);
        return loan.state() == LoanState::Requested && now_ - loan.lastUsedAt() < slowLenderTimeout;
    });
}

void HolderImpl::onLoanGiven(Incarnation from, std::uint64_t loan, GrantId grant, Tokens amount, bool holderOnly,
    Instant now, LedgerActions& actions)
{
    now_ = now;
    const auto found = loans_.find(loan);
    if (found == loans_.end()) {
        if (loan <= lastLoan_)
            actions.emplace_back(SendLoanDone { from, loan, none });
        return;
    }
    BorrowedLoan& borrowed = found->second;
    if (borrowed.lender() != from || grant.holder != from || borrowed.state() == LoanState::Held)
        return;
    if (borrowed.state() == LoanState::Ending) {
        actions.emplace_back(SendLoanDone { from, loan, borrowed.emittedBills() });
        return;
    }
    borrowed.onGranted(grant, amount, holderOnly, now);
    HolderBudgetState& budgetState = budgetStateOf(borrowed.budget());
    if (amount < budgetState.waitingRequests.smallest()) {
        endLoan(borrowed, actions);
    } else {
        budgetState.lenderRotation.onUsefulLoan();
        budgetState.shortageSignals.onTokensReceived();
        actions.emplace_back(TokensAvailable { borrowed.budget() });
    }
    borrow(borrowed.budget(), budgetState, situationOf(borrowed.budget(), budgetState), actions);
}

void HolderImpl::onLoanDenied(Incarnation from, std::uint64_t loan, Tokens, Instant now, LedgerActions& actions)
{
    now_ = now;
    const auto found = loans_.find(loan);
    if (found == loans_.end() || found->second.lender() != from || found->second.state() != LoanState::Requested)
        return;
    const BudgetRef budget = found->second.budget();
    removeLoan(loan);
    updateBudget(budget, budgetStateOf(budget), actions);
    flushRaises(actions);
}

void HolderImpl::onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions&)
{
    now_ = now;
    const auto found = loans_.find(loan);
    if (found != loans_.end() && found->second.lender() == from && found->second.state() == LoanState::Ending)
        removeLoan(loan);
}

} // namespace swiftlift::ledger::internal
