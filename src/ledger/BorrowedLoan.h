#pragma once

#include <cstdint>
#include <ostream>
#include <set>
#include <utility>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

enum class LoanState : std::uint8_t {
    Asked,
    Held,
    /** Given up or given back: LoanDone is repeated until the lender acknowledges it; nothing is spent any more. */
    Ending,
};

/** @brief One loan, as its borrower sees it (H10 of docs/HOLDINGS.md). */
class BorrowedLoan {
public:
    BorrowedLoan(std::uint64_t number, Incarnation lender, BudgetRef budget, Tokens asked, Instant now)
        : number_(number)
        , lender_(lender)
        , budget_(std::move(budget))
        , asked_(asked)
        , since_(now)
    {
    }

    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    [[nodiscard]] Incarnation lender() const noexcept { return lender_; }
    [[nodiscard]] const BudgetRef& budget() const noexcept { return budget_; }
    [[nodiscard]] LoanState state() const noexcept { return state_; }
    [[nodiscard]] GrantId grant() const noexcept { return grant_; }
    [[nodiscard]] Tokens asked() const noexcept { return asked_; }
    [[nodiscard]] Tokens amount() const noexcept { return amount_; }
    [[nodiscard]] Tokens billed() const noexcept { return billed_; }
    [[nodiscard]] Tokens reserved() const noexcept { return reserved_; }
    /** @return Sum of the bill entries emitted, counted or not. */
    [[nodiscard]] Tokens emitted() const noexcept { return emitted_; }
    [[nodiscard]] Tokens free() const noexcept;
    /** @return When it was asked for, given or last used. */
    [[nodiscard]] Instant since() const noexcept { return since_; }

    void given(GrantId grant, Tokens amount, bool holderOnly, Instant now);
    /** @return Whether nobody but its holder can close the lender's grant. */
    [[nodiscard]] bool holderOnly() const noexcept { return holderOnly_; }
    void reserve(Tokens amount, Instant now);
    /** @param billed Part of `reserved` that a bill of `key` now charges. */
    void settle(RequestKey key, Tokens reserved, Tokens billed);
    /** @return Whether this loan had emitted a bill of `key`. */
    bool billRead(RequestKey key, Tokens tokens, bool counted);
    void end(Instant now);

    /** @return Whether the message of this state is due again; counts the attempt. */
    [[nodiscard]] bool repeatDue(Instant now);
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

    void print(std::ostream& out) const;

private:
    std::uint64_t number_;
    Incarnation lender_;
    BudgetRef budget_;
    LoanState state_ = LoanState::Asked;
    GrantId grant_;
    bool holderOnly_ = false;
    Tokens asked_;
    Tokens amount_;
    Tokens billed_;
    Tokens emitted_;
    Tokens reserved_;
    Instant since_;
    Instant repeatAt_ {};
    std::uint32_t attempts_ = 0;
    /** Own bills not read back yet. */
    std::multiset<RequestKey> unread_;
};

} // namespace swiftlift::ledger::internal
