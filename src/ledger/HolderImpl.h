#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ledger/BorrowedLoan.h"
#include "ledger/HolderBudgetState.h"
#include "ledger/HolderGrant.h"
#include "ledger/LoanAnswerHistory.h"
#include "swiftlift/ledger/Holder.h"

namespace swiftlift::ledger::internal {

/**
 * @brief State and implementation of a Holder; see there for the public functions.
 *
 * Implemented in one source file per concern: requests in HolderRequests.cpp, effects of the fold in HolderEffects.cpp,
 * ceilings in HolderCeilings.cpp, loans in LoanBorrowing.cpp and LoanLending.cpp, ticks and the upkeep of a budget in
 * HolderBudgetUpdate.cpp.
 */
class HolderImpl {
public:
    HolderImpl(Incarnation self, std::shared_ptr<const HoldingPolicy> policy, const Fold& fold);
    HolderImpl(const HolderImpl& other, const Fold& fold);

    // Requests.
    [[nodiscard]] std::variant<Reservation, Shortage> reserve(
        const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions);
    void withdraw(const BudgetRef& budget, RequestKey key, Instant now);
    [[nodiscard]] Tokens spendable(const BudgetRef& budget) const;
    void settle(const Reservation& reservation, Tokens actual, LedgerActions& actions);

    void preallocate(const BudgetRef& budget);
    void setWeighting(const BudgetRef& budget, Weighting weighting);
    [[nodiscard]] bool isHolderOnly(const Reservation& reservation) const;
    [[nodiscard]] bool borrowsFrom(const GrantId& grant) const;

    // Effects of the fold.
    void onEffect(const Effect& effect, Instant now, LedgerActions& actions);

    // Ceilings.
    void onCeilingsAcked(Incarnation from, const std::vector<Ceiling>& ceilings, Instant now, LedgerActions& actions);
    void onCeilingsRefused(Incarnation from, const std::vector<GrantId>& grants, Instant now, LedgerActions& actions);

    // Lending.
    void onLoanAsk(Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now,
        LedgerActions& actions);
    void onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions);

    // Borrowing.
    void onLoanGiven(Incarnation from, std::uint64_t loan, GrantId grant, Tokens amount, bool holderOnly, Instant now,
        LedgerActions& actions);
    void onLoanDenied(Incarnation from, std::uint64_t loan, Tokens free, Instant now, LedgerActions& actions);
    void onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions& actions);

    void onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions);

    [[nodiscard]] bool drained() const;
    [[nodiscard]] std::vector<HoldingView> holdings() const;
    [[nodiscard]] std::string stateText() const;

private:
    using Grants = std::map<std::uint32_t, HolderGrant>;
    using Loans = std::map<std::uint64_t, BorrowedLoan>;
    using BudgetStates = std::map<BudgetRef, HolderBudgetState>;

    // Requests.
    [[nodiscard]] HolderBudgetState& budgetStateOf(const BudgetRef& budget);
    /** @return The reservation; nothing when no loan and no grant covers the amount. */
    [[nodiscard]] std::optional<Reservation> tryReserve(
        const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount);
    /** @return Why the request is short, whether it may still be covered, and when to retry it. */
    [[nodiscard]] Shortage describeShortage(
        const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount) const;
    /** @return Whether a draw, raise, loan or return in flight may still cover the request. */
    [[nodiscard]] bool mayStillBeCovered(
        const BudgetRef& budget, const HolderBudgetState& budgetState, RequestKey key, Tokens amount) const;
    /** @return How long after the emission of a draw requests wait for it. */
    [[nodiscard]] Duration drawTimeout() const;
    /** @return Whether the budget has fewer unbilled tokens than `amount`, as far as the log has been read. */
    [[nodiscard]] bool isExhausted(const BudgetRef& budget, Tokens amount) const;
    void settleLoan(const Reservation& reservation, Tokens actual, LedgerActions& actions);
    void settleGrant(const Reservation& reservation, Tokens actual, LedgerActions& actions);

    // Effects of the fold.
    void on(const Landed& effect, LedgerActions& actions);
    void on(const DrawDecided& effect, LedgerActions& actions);
    void on(const GrantChanged& effect, LedgerActions& actions);
    void on(const BillDecided& effect, LedgerActions& actions);
    void on(const BudgetChanged& effect, LedgerActions& actions);
    void on(const ClaimDecided&, LedgerActions&) { }
    void on(const Refused&, LedgerActions&) { }
    void onOwnDrawDecided(const DrawDecided& effect, LedgerActions& actions);
    void onOtherDrawDecided(const DrawDecided& effect, LedgerActions& actions);
    /** @brief Adds a counted bill of any router to the budget's fleet-wide rate. */
    void recordBilled(const BillDecided& effect);
    void onBorrowedBillDecided(const BillDecided& effect, LedgerActions& actions);
    void removeGrant(std::uint32_t number);
    void retire(std::string reason, LedgerActions& actions);

    // Ceilings.
    void raiseCeilings(const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    /** @return Whether the log has been unreachable for so long that the holder works without it. */
    [[nodiscard]] bool isInOutage() const;
    /**
     * @return Whether the grant's witness may close it before a bill emitted now has landed: neither the witness nor
     * the log is reachable.
     */
    [[nodiscard]] bool isBillAtRisk(const HolderGrant& grant) const;
    /** @return Whether a bill emitted on the loan now will count, as far as this holder can determine. */
    [[nodiscard]] bool isBillSafe(const BorrowedLoan& loan) const;
    /** @brief Closes or returns holder-only grants once the log is reachable, so that draws replace them. */
    void replaceHolderOnlyGrants(const HolderBudgetState& budgetState, LedgerActions& actions);
    void raiseCeiling(HolderGrant& grant, Tokens headroom, Tokens waiting);
    /** @return Incarnation to name as witness now; a default one when there is none or it does not answer. */
    [[nodiscard]] Incarnation witnessToName() const;
    /** @brief Stops naming the grant's witness for a while if it does not answer. */
    void recordSilentWitness(const HolderGrant& grant);
    /** @brief Names another witness for the grant when its witness does not answer or another one is preferred. */
    void updateWitness(HolderGrant& grant, Tokens headroom, LedgerActions& actions);
    /** @return Whether a raise of the grant has been unanswered for longer than `timeout`. */
    [[nodiscard]] bool isWitnessSilent(const HolderGrant& grant, Duration timeout) const;
    /** @return Whether a raise or a change of witness in flight may make `amount` spendable. */
    [[nodiscard]] bool isRaisePending(const HolderBudgetState& budgetState, Tokens amount) const;
    /** @brief Emits the collected raises, one message per witness. */
    void flushRaises(LedgerActions& actions);

    // Lending.
    /** @return The answer; nothing while the witness has to acknowledge a ceiling first, so that the borrower retries.
     */
    [[nodiscard]] std::optional<LoanAnswer> decideLoan(Incarnation borrower, const BudgetRef& budget, Tokens amount);
    /** @return The grant with the largest remainder that may be lent now; null when there is none. */
    [[nodiscard]] HolderGrant* grantToLend(const HolderBudgetState& budgetState);

    // Borrowing.
    void borrow(const BudgetRef& budget, HolderBudgetState& budgetState, const BudgetSituation& situation,
        LedgerActions& actions);
    /** @return Peers to request a loan from, in order of preference. */
    [[nodiscard]] const std::vector<Incarnation>& lendersOf(const HolderBudgetState& budgetState) const;
    /** @return Whether as many requests as there are lenders have failed one after the other. */
    [[nodiscard]] bool allLendersFailed(const HolderBudgetState& budgetState) const;
    /** @return Whether tokens have to be borrowed now. */
    [[nodiscard]] bool needsLoan(const HolderBudgetState& budgetState, const BudgetSituation& situation) const;
    /** @brief Asks several lenders for what is missing in sum. */
    void borrowFromSeveral(const BudgetRef& budget, HolderBudgetState& budgetState, const BudgetSituation& situation,
        const LoanTerms& terms, LedgerActions& actions);
    void requestLoan(const BudgetRef& budget, HolderBudgetState& budgetState, Incarnation lender, Tokens size,
        LedgerActions& actions);
    /** @brief Retries, gives up or ends each loan of the budget as needed. */
    void advanceLoans(HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    void advanceLoan(
        BorrowedLoan& loan, HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    /** @brief Records how a lender has answered a request; `lent` is zero when it denied or did not answer. */
    void rankLender(HolderBudgetState& budgetState, const BorrowedLoan& loan, Tokens lent);
    /** @brief Ends a loan that its lender has not answered in time. */
    void abandonLoanRequest(BorrowedLoan& loan, HolderBudgetState& budgetState, LedgerActions& actions);
    void endLoan(BorrowedLoan& loan, LedgerActions& actions);
    void removeLoan(std::uint64_t number);
    /** @return Whether requests should wait for a lender's answer. */
    [[nodiscard]] bool isLoanAnswerPending(const HolderBudgetState& budgetState) const;
    /** @return Loan requests that are so recent that no other lender is asked in their place. */
    [[nodiscard]] std::vector<const BorrowedLoan*> recentLoanRequests(const HolderBudgetState& budgetState) const;

    // Upkeep of one budget, after each tick and each change that concerns the budget.
    void chooseHomes();
    /** @brief Changes the situation to that of a router for which the homes of the budget hold its tokens. */
    static void holdNothingAhead(BudgetSituation& situation);
    /** @brief Notes once what all grants of the budget hold, as soon as the log has been read to its end. */
    void recordHeldAtStart(const BudgetRef& budget, HolderBudgetState& budgetState) const;
    [[nodiscard]] BudgetSituation situationOf(const BudgetRef& budget, const HolderBudgetState& budgetState) const;
    /** @brief Sets `free` and `largestFree` of the situation. */
    void addFreeTokens(const HolderBudgetState& budgetState, BudgetSituation& situation) const;
    /** @brief Returns, closes, draws, borrows and raises ceilings as the policy decides. */
    void updateBudget(const BudgetRef& budget, HolderBudgetState& budgetState, LedgerActions& actions);
    void draw(const BudgetRef& budget, HolderBudgetState& budgetState, const BudgetSituation& situation,
        LedgerActions& actions);
    /**
     * @brief Returns the remainders of several grants if a draw of their sum would cover the largest waiting request.
     * @return Whether they were returned.
     */
    [[nodiscard]] bool consolidateRemainders(
        const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    void returnSurplus(HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    void returnTokens(const HolderBudgetState& budgetState, Tokens amount, LedgerActions& actions);
    void closeIdleGrants(
        const HolderBudgetState& budgetState, const BudgetSituation& situation, LedgerActions& actions);
    /** @brief Emits CloseGrant; the grant has to be idle. */
    void close(HolderGrant& grant, LedgerActions& actions);
    /** @return Whether the holder only winds up: it was retired, or the process is stopping. */
    [[nodiscard]] bool isLeaving() const { return retired_ || environment_.stopping; }
    [[nodiscard]] Tokens grantsRemainder(const HolderBudgetState& budgetState) const;

    Incarnation self_;
    std::shared_ptr<const HoldingPolicy> policy_;
    const Fold* fold_;
    Instant now_ {};
    HolderEnvironment environment_;
    /** Latest witness that did not answer, and the time until which it is not named again. */
    Incarnation silentWitness_;
    Instant silentUntil_ {};
    /** Smoothed time from the emission of a draw until it is read back. */
    Duration drawLatency_ = std::chrono::milliseconds(100);
    /** Time at which the log became unreachable; empty while it is reachable. */
    std::optional<Instant> logUnreachableSince_;
    /** Time of the first request for any budget. */
    std::optional<Instant> firstRequestAt_;
    /** Time at which the environment last named another witness. */
    Instant witnessSince_ {};
    bool retired_ = false;
    /** Author of the item whose effects are being read. */
    Incarnation author_;
    std::uint32_t lastGrant_ = 0;
    std::uint64_t lastLoan_ = 0;
    Grants grants_;
    Loans loans_;
    LoanAnswerHistory loanAnswers_;
    BudgetStates budgetStates_;
    /** Raises that the current call sends at its end, by witness. */
    std::map<Incarnation, std::vector<Ceiling>> raises_;
};

} // namespace swiftlift::ledger::internal
