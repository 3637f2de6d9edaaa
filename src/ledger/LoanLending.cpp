#include <algorithm>

#include "ledger/HolderImpl.h"

namespace swiftlift::ledger::internal {

namespace {

    using namespace std::chrono_literals;

    constexpr Tokens none {};
    /** Of the largest recent request, less than this part fits hardly any: sizes of prompts spread over two orders of
     * magnitude, with a mean of an eighth of the largest. */
    constexpr std::int64_t smallestPart = 16;
    /** After this long without the witness's answer, an ask is denied rather than left to be repeated. */
    constexpr Duration witnessPatience = 500ms;

} // namespace

// H11: the first answer stands. A second loan for a repeated ask would be lent for good, as its borrower knows of one.
void HolderImpl::onLoanAsk(
    Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now, LedgerActions& actions)
{
    now_ = now;
    std::optional<LoanAnswer> answer = lending_.find(from, loan);
    if (!answer) {
        answer = decideLoan(from, budget, amount);
        flushRaises(actions);
        if (!answer)
            return;
        lending_.record(from, loan, *answer);
    }
    if (answer->amount > none && !answer->done)
        actions.emplace_back(SendLoanGiven { from, loan, budget, answer->grant, answer->amount, answer->holderOnly });
    else
        actions.emplace_back(SendLoanDenied { from, loan, budget, answer->free });
}

/** Nothing: not decided yet, since the witness has to acknowledge first; the borrower asks again. */
std::optional<LoanAnswer> HolderImpl::decideLoan(Incarnation borrower, const BudgetRef& budget, Tokens amount)
{
    const auto found = desks_.find(budget);
    if (leaving() || found == desks_.end() || amount <= none)
        return LoanAnswer {};
    const HolderBudgetState& desk = found->second;
    const BudgetSituation situation = situationOf(budget, desk);
    const Tokens lendable = std::max(policy_->lendable(situation), none);
    HolderGrant* const grant = grantToLend(desk);
    const Tokens offered = grant ? std::min({ amount, lendable, grant->remainder() }) : none;
    // What goes wrong otherwise: at the end of an outage every lender gives the few hundred tokens that it has left; no
    // request fits them, the borrower gives them back and asks the next one, 90 times a second.
    const bool useful = offered >= Tokens { std::min(amount, situation.largest).value() / smallestPart };
    if (offered == none || !useful)
        return LoanAnswer { {}, {}, lendable };
    if (grant->free() < offered && !grant->changingWitness() && !witnessSilent(*grant, witnessPatience)) {
        raiseCeiling(*grant, policy_->headRoom(situation) + offered, offered);
        return {};
    }
    const Tokens given = std::min(offered, grant->free());
    if (given == none)
        return LoanAnswer {};
    // A borrower's bills are not in this author's order: a witness named later could close the grant before they land.
    if (grant->witness() == Incarnation {})
        grant->stayAlone();
    grant->lend(borrower, given);
    return LoanAnswer { grant->id(), given, lendable - given, false, grant->holderOnly() };
}

HolderGrant* HolderImpl::grantToLend(const HolderBudgetState& desk)
{
    HolderGrant* best = nullptr;
    for (const std::uint32_t number : desk.grants) {
        HolderGrant& grant = grants_.at(number);
        // In an outage the borrower's bills can't land, so only money that nobody else can close is lent.
        const bool closable = policy_->witnessesClose() && grant.witness() != Incarnation {} && !grant.holderOnly();
        if (!environment_.logReachable && closable)
            continue;
        if (!best || grant.remainder() > best->remainder())
            best = &grant;
    }
    return best;
}

// A LoanDone for an ask that never came is kept, so that the ask is denied if it comes late: its borrower has given it
// up, and nobody else would ever give the tokens back.
void HolderImpl::onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions)
{
    now_ = now;
    LoanAnswer answer = lending_.find(from, loan).value_or(LoanAnswer {});
    const bool wasOpen = answer.amount > none && !answer.done;
    answer.done = true;
    lending_.record(from, loan, answer);
    actions.emplace_back(SendLoanDoneAcked { from, loan });
    if (!wasOpen)
        return;
    const auto found = grants_.find(answer.grant.number);
    if (found == grants_.end())
        return;
    HolderGrant& grant = found->second;
    grant.loanDone(from, answer.amount, billed);
    actions.emplace_back(TokensAvailable { grant.budget() });
    work(grant.budget(), deskOf(grant.budget()), actions);
    flushRaises(actions);
}

} // namespace swiftlift::ledger::internal
