#pragma once

#include <cstdint>
#include <ostream>
#include <set>
#include <utility>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief State of a loan at its borrower. */
enum class LoanState : std::uint8_t {
    /** The request was sent; no answer yet. */
    Requested,
    Held,
    /** Abandoned or returned: nothing more is spent, and LoanDone is repeated until the lender acknowledges it. */
    Ending,
};

/** @brief State of one loan at its borrower (H10 in docs/HOLDINGS.md). */
class BorrowedLoan {
public:
    BorrowedLoan(std::uint64_t number, Incarnation lender, BudgetRef budget, Tokens requestedAmount, Instant now)
        : number_(number)
        , lender_(lender)
        , budget_(std::move(budget))
        , requestedAmount_(requestedAmount)
        , lastUsedAt_(now)
    {
    }

    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    [[nodiscard]] Incarnation lender() const noexcept { return lender_; }
    [[nodiscard]] const BudgetRef& budget() const noexcept { return budget_; }
    [[nodiscard]] LoanState state() const noexcept { return state_; }
    [[nodiscard]] GrantId grant() const noexcept { return grant_; }
    [[nodiscard]] Tokens requestedAmount() const noexcept { return requestedAmount_; }
    [[nodiscard]] Tokens amount() const noexcept { return amount_; }
    [[nodiscard]] Tokens billed() const noexcept { return billed_; }
    [[nodiscard]] Tokens reserved() const noexcept { return reserved_; }
    /** @return Sum of the bill entries emitted on the loan, whether or not they counted. */
    [[nodiscard]] Tokens emittedBills() const noexcept { return emittedBills_; }
    /** @return Tokens that may be reserved now. */
    [[nodiscard]] Tokens free() const noexcept;
    /** @return When the loan was requested, granted, used or ended, whichever was last. */
    [[nodiscard]] Instant lastUsedAt() const noexcept { return lastUsedAt_; }

    void onGranted(GrantId grant, Tokens amount, bool holderOnly, Instant now);
    /** @return Whether the lender's grant is holder-only. */
    [[nodiscard]] bool holderOnly() const noexcept { return holderOnly_; }
    void reserve(Tokens amount, Instant now);
    /**
     * @brief Ends a reservation.
     * @param key Request that held the reservation.
     * @param reserved Amount of the reservation.
     * @param billed Part of `reserved` that the request's bill charges.
     */
    void settle(RequestKey key, Tokens reserved, Tokens billed);
    /**
     * @brief A bill of this incarnation on the lender's grant was read from the log.
     * @return Whether the bill of `key` was emitted on this loan.
     */
    bool onBillRead(RequestKey key, Tokens tokens, bool counted);
    /** @brief Stops spending; the loan must have no reservation. */
    void end(Instant now);

    /** @return Whether the message of the current state has to be sent now; if so, counts the attempt. */
    [[nodiscard]] bool takeDueAttempt(Instant now);
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

    void print(std::ostream& out) const;

private:
    std::uint64_t number_;
    Incarnation lender_;
    BudgetRef budget_;
    LoanState state_ = LoanState::Requested;
    GrantId grant_;
    bool holderOnly_ = false;
    Tokens requestedAmount_;
    Tokens amount_;
    Tokens billed_;
    Tokens emittedBills_;
    Tokens reserved_;
    Instant lastUsedAt_;
    Instant retryAt_ {};
    std::uint32_t attempts_ = 0;
    /** Requests whose bills on this loan have not been read back from the log. */
    std::multiset<RequestKey> unreadBills_;
};

} // namespace swiftlift::ledger::internal
