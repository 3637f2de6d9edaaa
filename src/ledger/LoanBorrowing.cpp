#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    /** An ask without an answer is given up after this long. */
    constexpr Duration askPatience = 500ms;
    /** The next lender is asked beside one that has not answered for this long: a hundred round trips of a region, and
     * still a tenth of what callers wait at most when money is short. */
    constexpr Duration slowLender = 60ms;
    /** A request waits this long for a lender's answer: two rounds of asking, each repeated once. */
    constexpr Duration answerPatience = 200ms;
    /** A loan that was not used for this long goes back. */
    constexpr Duration idleLoan = 3s;
    /** A draw that has been in flight for this long is not waited for alone. */
    constexpr Duration slowDraw = 300ms;

} // namespace

void HolderImpl::borrow(
    const BudgetRef& budget, HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    if (desk.wants.empty())
        return;
    const bool slow = desk.drawing && now_ - desk.drawingSince > slowDraw;
    const bool logWillDo = situation.logReachable && situation.available >= situation.need && !slow;
    if (retired_ || logWillDo || situation.largestFree >= situation.need || askedJustNow(desk))
        return;
    const Tokens size = policy_->loanSize(situation);
    if (size == none || environment_.lenders.empty() || !desk.rounds.due(now_))
        return;
    const std::uint64_t number = ++lastLoan_;
    desk.loans.push_back(number);
    const Incarnation lender = environment_.lenders.at(desk.rounds.ask(environment_.lenders.size(), now_));
    BorrowedLoan& loan = loans_.try_emplace(number, number, lender, budget, size, now_).first->second;
    if (loan.repeatDue(now_))
        actions.emplace_back(SendLoanAsk { loan.lender(), number, budget, size });
}

void HolderImpl::moveLoans(HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    for (const std::uint64_t number : desk.loans)
        moveLoan(loans_.at(number), desk, situation, actions);
}

void HolderImpl::moveLoan(
    BorrowedLoan& loan, const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions)
{
    const Duration age = now_ - loan.since();
    switch (loan.state()) {
    case LoanState::Asked:
        if (age > askPatience || retired_)
            endLoan(loan, actions);
        else if (loan.repeatDue(now_))
            actions.emplace_back(SendLoanAsk { loan.lender(), loan.number(), loan.budget(), loan.asked() });
        return;
    case LoanState::Held: {
        const bool spent = loan.free() == none;
        const bool useless = desk.wants.empty() && loan.free() < situation.largest;
        const bool unused = age > idleLoan || (leaving() && desk.wants.empty());
        if (loan.reserved() == none && (spent || useless || unused || retired_))
            endLoan(loan, actions);
        return;
    }
    case LoanState::Ending:
        if (loan.repeatDue(now_))
            actions.emplace_back(SendLoanDone { loan.lender(), loan.number(), loan.emitted() });
        return;
    }
}

// H10: from here on nothing of it is spent. An ask that was given up ends in the same way, since its answer may have
// been lost: otherwise the lender would count it as lent for good.
void HolderImpl::endLoan(BorrowedLoan& loan, LedgerActions& actions)
{
    loan.end(now_);
    if (loan.repeatDue(now_))
        actions.emplace_back(SendLoanDone { loan.lender(), loan.number(), loan.emitted() });
}

void HolderImpl::forgetLoan(std::uint64_t number)
{
    std::erase(deskOf(loans_.at(number).budget()).loans, number);
    loans_.erase(number);
}

bool HolderImpl::loanAsked(const HolderBudgetState& desk) const
{
    // Lenders are asked again every second. Where the last round brought nothing, callers don't wait for this one.
    if (desk.rounds.formerInVain())
        return false;
    return std::ranges::any_of(desk.loans, [&](std::uint64_t number) {
        const BorrowedLoan& loan = loans_.at(number);
        return loan.state() == LoanState::Asked && now_ - loan.since() < answerPatience;
    });
}

bool HolderImpl::askedJustNow(const HolderBudgetState& desk) const
{
    return std::ranges::any_of(desk.loans, [&](std::uint64_t number) {
        const BorrowedLoan& loan = loans_.at(number);
        return loan.state() == LoanState::Asked && now_ - loan.since() < slowLender;
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
        actions.emplace_back(SendLoanDone { from, loan, borrowed.emitted() });
        return;
    }
    borrowed.given(grant, amount, holderOnly, now);
    HolderBudgetState& desk = deskOf(borrowed.budget());
    if (amount < desk.wants.smallest()) {
        endLoan(borrowed, actions);
    } else {
        desk.rounds.lent();
        desk.signals.relieved();
        actions.emplace_back(TokensAvailable { borrowed.budget() });
    }
    borrow(borrowed.budget(), desk, situationOf(borrowed.budget(), desk), actions);
}

void HolderImpl::onLoanDenied(Incarnation from, std::uint64_t loan, Tokens, Instant now, LedgerActions& actions)
{
    now_ = now;
    const auto found = loans_.find(loan);
    if (found == loans_.end() || found->second.lender() != from || found->second.state() != LoanState::Asked)
        return;
    const BudgetRef budget = found->second.budget();
    forgetLoan(loan);
    work(budget, deskOf(budget), actions);
    flushRaises(actions);
}

void HolderImpl::onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions&)
{
    now_ = now;
    const auto found = loans_.find(loan);
    if (found != loans_.end() && found->second.lender() == from && found->second.state() == LoanState::Ending)
        forgetLoan(loan);
}

} // namespace swiftlift::ledger::internal
