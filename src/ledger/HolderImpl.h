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
 * @brief The state of a Holder and all it does.
 *
 * Requests, effects, ceilings, loans and the work of a tick stand in one source file each (HolderRequests.cpp,
 * HolderEffects.cpp, HolderCeilings.cpp, LoanBorrowing.cpp, LoanLending.cpp, HolderBudgetUpdate.cpp).
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

    // The log.
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
    using Desks = std::map<BudgetRef, HolderBudgetState>;

    // Requests.
    [[nodiscard]] HolderBudgetState& deskOf(const BudgetRef& budget);
    [[nodiscard]] std::optional<Reservation> take(
        const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount);
    [[nodiscard]] Shortage shortage(
        const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount) const;
    [[nodiscard]] bool mayStillCome(
        const BudgetRef& budget, const HolderBudgetState& desk, RequestKey key, Tokens amount) const;
    /** @return How long after its emission a draw is waited for. */
    [[nodiscard]] Duration drawPatience() const;
    [[nodiscard]] bool isExhausted(const BudgetRef& budget, Tokens amount) const;
    void settleLoan(const Reservation& reservation, Tokens actual, LedgerActions& actions);
    void settleGrant(const Reservation& reservation, Tokens actual, LedgerActions& actions);

    // The log.
    void on(const Landed& effect, LedgerActions& actions);
    void on(const DrawDecided& effect, LedgerActions& actions);
    void on(const GrantChanged& effect, LedgerActions& actions);
    void on(const BillDecided& effect, LedgerActions& actions);
    void on(const BudgetChanged& effect, LedgerActions& actions);
    void on(const ClaimDecided&, LedgerActions&) { }
    void on(const Refused&, LedgerActions&) { }
    void ownDrawDecided(const DrawDecided& effect, LedgerActions& actions);
    void otherDrawDecided(const DrawDecided& effect, LedgerActions& actions);
    void noteBilled(const BillDecided& effect);
    void borrowedBillDecided(const BillDecided& effect, LedgerActions& actions);
    void forgetGrant(std::uint32_t number);
    void retire(std::string reason, LedgerActions& actions);

    // Ceilings.
    void raiseCeilings(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    /** @return Whether the log has been out of reach for long enough to go on without it. */
    [[nodiscard]] bool inOutage() const;
    /** @return Whether a bill on the grant could not be secured now: its witness can't be asked, and may close it. */
    [[nodiscard]] bool insecure(const HolderGrant& grant) const;
    /** @return Whether a bill on the loan would count, as far as can be told now. */
    [[nodiscard]] bool secure(const BorrowedLoan& loan) const;
    void replaceAlone(const HolderBudgetState& desk, LedgerActions& actions);
    void raiseCeiling(HolderGrant& grant, Tokens headRoom, Tokens waiting);
    /** @return Whom to name as witness now; nobody when there is none, or it doesn't answer. */
    [[nodiscard]] Incarnation witnessToName() const;
    /** Notes a witness that doesn't answer. */
    void noteSilence(const HolderGrant& grant);
    void moveWitness(HolderGrant& grant, Tokens headRoom, LedgerActions& actions);
    [[nodiscard]] bool witnessSilent(const HolderGrant& grant, Duration patience) const;
    [[nodiscard]] bool raisePending(const HolderBudgetState& desk, Tokens amount) const;
    void flushRaises(LedgerActions& actions);

    // Lending.
    [[nodiscard]] std::optional<LoanAnswer> decideLoan(Incarnation borrower, const BudgetRef& budget, Tokens amount);
    [[nodiscard]] HolderGrant* grantToLend(const HolderBudgetState& desk);

    // Borrowing.
    void borrow(
        const BudgetRef& budget, HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void moveLoans(HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void moveLoan(
        BorrowedLoan& loan, const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void endLoan(BorrowedLoan& loan, LedgerActions& actions);
    void forgetLoan(std::uint64_t number);
    [[nodiscard]] bool loanAsked(const HolderBudgetState& desk) const;
    /** @return Whether an ask is so fresh that its answer is waited for before another lender is asked. */
    [[nodiscard]] bool askedJustNow(const HolderBudgetState& desk) const;

    // Work that a tick or any change of one budget brings up.
    [[nodiscard]] BudgetSituation situationOf(const BudgetRef& budget, const HolderBudgetState& desk) const;
    void countFree(const HolderBudgetState& desk, BudgetSituation& situation) const;
    void work(const BudgetRef& budget, HolderBudgetState& desk, LedgerActions& actions);
    void draw(
        const BudgetRef& budget, HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    /** @return Whether the remainders went back, and will cover what waits. */
    [[nodiscard]] bool gather(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void giveBackSurplus(HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void giveBack(const HolderBudgetState& desk, Tokens amount, LedgerActions& actions);
    void closeIdle(const HolderBudgetState& desk, const BudgetSituation& situation, LedgerActions& actions);
    void close(HolderGrant& grant, LedgerActions& actions);
    [[nodiscard]] bool leaving() const { return retired_ || environment_.stopping; }
    [[nodiscard]] Tokens grantsRemainder(const HolderBudgetState& desk) const;

    Incarnation self_;
    std::shared_ptr<const HoldingPolicy> policy_;
    const Fold* fold_;
    Instant now_ {};
    HolderEnvironment environment_;
    /** A witness that did not answer, and until when it is not named again. */
    Incarnation silentWitness_;
    Instant silentUntil_ {};
    /** How long draws take of late, from emission until they are read back. */
    Duration drawTook_ = std::chrono::milliseconds(100);
    /** Since when the log has been out of reach. */
    std::optional<Instant> logLostAt_;
    /** Since when there have been requests. */
    std::optional<Instant> busySince_;
    /** Since when the surroundings have named this witness. */
    Instant witnessSince_ {};
    bool retired_ = false;
    /** Author of the item whose effects are being read. */
    Incarnation author_;
    std::uint32_t lastGrant_ = 0;
    std::uint64_t lastLoan_ = 0;
    Grants grants_;
    Loans loans_;
    LoanAnswerHistory lending_;
    Desks desks_;
    /** Raises to be sent at the end of the present call, by witness. */
    std::map<Incarnation, std::vector<Ceiling>> raises_;
};

} // namespace swiftlift::ledger::internal
