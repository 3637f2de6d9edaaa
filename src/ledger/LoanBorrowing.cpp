#include <algorithm>
#include <set>

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
    const LoanTerms terms = policy_->loanTerms();
    if (lendersOf(budgetState).empty() || !needsLoan(budgetState, situation))
        return;
    if (terms.asksAtOnce > 1) {
        borrowFromSeveral(budget, budgetState, situation, terms, actions);
        return;
    }
    const Tokens size = policy_->loanSize(situation);
    if (size == none || !recentLoanRequests(budgetState).empty() || !budgetState.lenderRotation.isDue(now_))
        return;
    const std::vector<Incarnation>& lenders = lendersOf(budgetState);
    const std::size_t lender = budgetState.lenderRotation.nextLender(lenders.size(), now_);
    requestLoan(budget, budgetState, lenders.at(lender), size, actions);
}

const std::vector<Incarnation>& HolderImpl::lendersOf(const HolderBudgetState& budgetState) const
{
    return budgetState.homes.shared() ? budgetState.homes.lenders() : environment_.lenders;
}

bool HolderImpl::allLendersFailed(const HolderBudgetState& budgetState) const
{
    const std::vector<Incarnation>& lenders = lendersOf(budgetState);
    if (budgetState.lenderRanking.allFailed(lenders.size()))
        return true;
    // Tokens that came meanwhile end the row of failures, but exhausted lenders are not asked again for a while.
    return budgetState.borrowsAll() && recentLoanRequests(budgetState).empty()
        && budgetState.lenderRanking.rank(lenders, now_).empty();
}

bool HolderImpl::needsLoan(const HolderBudgetState& budgetState, const BudgetSituation& situation) const
{
    if (retired_ || budgetState.waitingRequests.empty())
        return false;
    const bool isDrawSlow = budgetState.pendingDraw && now_ - budgetState.pendingDrawSince > slowDrawThreshold;
    const bool drawWillCover
        = !budgetState.borrowsAll() && situation.logReachable && situation.available >= situation.need && !isDrawSlow;
    return !drawWillCover && situation.largestFree < situation.need;
}

void HolderImpl::borrowFromSeveral(const BudgetRef& budget, HolderBudgetState& budgetState,
    const BudgetSituation& situation, const LoanTerms& terms, LedgerActions& actions)
{
    Tokens missing = policy_->loanSize(situation);
    std::set<Incarnation> asked;
    for (const BorrowedLoan* const loan : recentLoanRequests(budgetState)) {
        asked.insert(loan->lender());
        missing -= loan->requestedAmount();
    }
    // A request is covered by a single loan, so each loan has to be large enough for the largest request.
    const Tokens part { missing.value() / terms.asksAtOnce };
    const Tokens size = std::max({ part, situation.need, situation.largest });
    for (const Incarnation lender : budgetState.lenderRanking.rank(lendersOf(budgetState), now_)) {
        if (missing <= none || asked.size() >= terms.asksAtOnce)
            return;
        if (!asked.insert(lender).second)
            continue;
        missing -= size;
        requestLoan(budget, budgetState, lender, size, actions);
    }
}

void HolderImpl::requestLoan(
    const BudgetRef& budget, HolderBudgetState& budgetState, Incarnation lender, Tokens size, LedgerActions& actions)
{
    const std::uint64_t number = ++lastLoan_;
    budgetState.loans.push_back(number);
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
    BorrowedLoan& loan, HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions)
{
    const Duration age = now_ - loan.lastUsedAt();
    switch (loan.state()) {
    case LoanState::Requested:
        if (age > loanRequestTimeout || retired_)
            abandonLoanRequest(loan, budgetState, actions);
        else if (loan.takeDueAttempt(now_))
            actions.emplace_back(SendLoanAsk { loan.lender(), loan.number(), loan.budget(), loan.requestedAmount() });
        return;
    case LoanState::Held: {
        const bool spent = loan.free() == none;
        const bool useless
            = budgetState.waitingRequests.empty() && (loan.free() < situation.largest || budgetState.borrowsAll());
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

// A lender that lends less than requested has lent all that it can spare; the others can probably lend as much again.
void HolderImpl::rankLender(HolderBudgetState& budgetState, const BorrowedLoan& loan, Tokens lent)
{
    if (policy_->loanTerms().asksAtOnce <= 1)
        return;
    LenderRanking& ranking = budgetState.lenderRanking;
    if (lent < loan.requestedAmount())
        ranking.onExhausted(loan.lender(), now_);
    else
        ranking.onWholeLoan(loan.lender(), lent, now_);
    if (lent == none || lent < budgetState.waitingRequests.smallest())
        ranking.onFailure();
    else
        ranking.onTokensReceived();
}

void HolderImpl::abandonLoanRequest(BorrowedLoan& loan, HolderBudgetState& budgetState, LedgerActions& actions)
{
    rankLender(budgetState, loan, none);
    endLoan(loan, actions);
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
    const bool asksSeveral = policy_->loanTerms().asksAtOnce > 1;
    if (asksSeveral ? allLendersFailed(budgetState) : budgetState.lenderRotation.previousRoundFailed())
        return false;
    return std::ranges::any_of(budgetState.loans, [&](std::uint64_t number) {
        const BorrowedLoan& loan = loans_.at(number);
        return loan.state() == LoanState::Requested && now_ - loan.lastUsedAt() < lenderAnswerTimeout;
    });
}

std::vector<const BorrowedLoan*> HolderImpl::recentLoanRequests(const HolderBudgetState& budgetState) const
{
    std::vector<const BorrowedLoan*> recent;
    for (const std::uint64_t number : budgetState.loans) {
        const BorrowedLoan& loan = loans_.at(number);
        if (loan.state() == LoanState::Requested && now_ - loan.lastUsedAt() < slowLenderTimeout)
            recent.push_back(&loan);
    }
    return recent;
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
    rankLender(budgetState, borrowed, amount);
    if (amount < budgetState.waitingRequests.smallest()) {
        endLoan(borrowed, actions);
    } else {
        budgetState.lenderRotation.onUsefulLoan();
        budgetState.shortageSignals.onTokensReceived();
        actions.emplace_back(TokensAvailable { borrowed.budget() });
    }
    if (budgetState.borrowsAll()) {
        // If this was the last lender, the rest is drawn now: the request is refused before the next tick.
        updateBudget(borrowed.budget(), budgetState, actions);
        return;
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
    HolderBudgetState& budgetState = budgetStateOf(budget);
    rankLender(budgetState, found->second, none);
    removeLoan(loan);
    updateBudget(budget, budgetState, actions);
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
