#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief State of a grant at its holder. */
enum class HolderGrantState : std::uint8_t {
    /** The draw is in flight, so nothing may be spent. */
    Drawing,
    Open,
    /** The witness has sealed the grant at its ceiling; only what is reserved may still be billed. */
    Sealed,
    /** CloseGrant was emitted, so nothing more is spent. */
    Closing,
};

/** @brief Loans of one borrower on one grant. */
struct BorrowerShare {
    /** Number of loans that the borrower has not reported as done. */
    std::uint32_t openLoans = 0;
    /** Sum of the loans that are not done. */
    Tokens lent;
    /**
     * Tokens that the done loans take out of the grant: until the borrower's bills have been read back, an upper bound.
     */
    Tokens finishedCharge;
    /** Sum of the bills that the borrower reported for its done loans. */
    Tokens announcedBills;
    /** Sum of the borrower's bills read back from the log, whether or not they counted. */
    Tokens readBills;
    /** Sum of the borrower's bills read back that counted. */
    Tokens counted;

    /** @return Whether every loan is done and every bill has been read back. */
    [[nodiscard]] bool isSettled() const noexcept { return openLoans == 0 && readBills >= announcedBills; }
    /** @return Tokens that all loans of the borrower take out of the grant. */
    [[nodiscard]] Tokens committed() const noexcept { return lent + finishedCharge; }
    /** @brief Lowers the charge to the bills that counted once every bill has been read back. */
    void settle() noexcept
    {
        if (isSettled())
            finishedCharge = counted;
    }
};

/** @brief One grant of this incarnation. Enforces the rules of what may be spent (H1 to H8 in docs/HOLDINGS.md). */
class HolderGrant {
public:
    HolderGrant(GrantId id, BudgetRef budget)
        : id_(id)
        , budget_(std::move(budget))
    {
    }

    [[nodiscard]] GrantId id() const noexcept { return id_; }
    [[nodiscard]] const BudgetRef& budget() const noexcept { return budget_; }
    [[nodiscard]] HolderGrantState state() const noexcept { return state_; }
    [[nodiscard]] bool isOpen() const noexcept { return state_ == HolderGrantState::Open; }
    [[nodiscard]] Incarnation witness() const noexcept { return witness_; }
    [[nodiscard]] bool isChangingWitness() const noexcept { return nextWitness_.has_value(); }
    [[nodiscard]] Tokens amount() const noexcept { return amount_; }
    /** @return Amount up to which the grant may be spent now. */
    [[nodiscard]] Tokens ceiling() const noexcept;
    /** @return Bills of the holder, and the charge of done loans. */
    [[nodiscard]] Tokens billed() const noexcept;
    [[nodiscard]] Tokens reserved() const noexcept { return reserved_; }
    [[nodiscard]] Tokens lent() const noexcept;
    /** @return billed + reserved + lent. */
    [[nodiscard]] Tokens committed() const noexcept;
    /** @return Tokens that may be reserved or lent now. */
    [[nodiscard]] Tokens free() const noexcept;
    /** @return Tokens that may be reserved or lent once the witness has acknowledged the whole grant. */
    [[nodiscard]] Tokens remainder() const noexcept;
    /** @return Whether nothing is reserved or lent and every bill of a borrower has been read back. */
    [[nodiscard]] bool isIdle() const noexcept;

    /** @brief The draw was read back: the grant is open from now on. */
    void onAdmitted(Tokens amount, Incarnation witness);
    void reserve(Tokens amount);
    /**
     * @brief Ends a reservation.
     * @param reserved Amount of the reservation.
     * @param billed Part of `reserved` that the request's bill charges.
     */
    void settle(Tokens reserved, Tokens billed);
    /** @brief Frees the tokens of a bill of the holder that did not count. */
    void refund(Tokens tokens);
    /** @brief Takes unspent tokens out of the grant. */
    void returnTokens(Tokens amount);
    void close() noexcept { state_ = HolderGrantState::Closing; }
    void seal() noexcept;

    void onCeilingAcknowledged(Incarnation from, Tokens ceiling, bool holderOnly);
    /** @brief Makes the grant holder-only, so that no witness is named for it from now on. */
    void makeHolderOnly() noexcept { holderOnly_ = true; }
    /** @return Whether only the holder can close the grant. Permanent, so the witness does not change any more. */
    [[nodiscard]] bool holderOnly() const noexcept { return holderOnly_; }
    /**
     * @brief Starts a change of witness.
     * @param to Next witness; zero for none.
     * @param headroom How far the ceiling is above the committed tokens when the grant had no witness.
     * @return The ceiling to state in the log.
     */
    Tokens changeWitness(Incarnation to, Tokens headroom);
    /** @brief A change of witness was read from the log. */
    void onWitnessRead(Incarnation witness);

    void lend(Incarnation borrower, Tokens amount);
    /**
     * @brief The borrower has reported a loan as done.
     * @param amount Amount of the loan.
     * @param billed Sum of the bill entries that the borrower emitted on the loan.
     */
    void finishLoan(Incarnation borrower, Tokens amount, Tokens billed);
    /** @brief A bill of the borrower was read from the log. */
    void onBorrowerBill(Incarnation borrower, Tokens tokens, bool counted);

    void print(std::ostream& out) const;

    /** @brief Latest raise requested from the witness, and its retries; used only to schedule retries. */
    struct Raise {
        Tokens requestedCeiling;
        bool holderOnly = false;
        Instant firstRequestedAt {};
        Instant requestedAt {};
        std::uint32_t attempts = 0;
        bool refused = false;
    };
    Raise raise;

private:
    GrantId id_;
    BudgetRef budget_;
    HolderGrantState state_ = HolderGrantState::Drawing;
    Incarnation witness_;
    std::optional<Incarnation> nextWitness_;
    /** Amount that the ledger admitted, less what was returned. */
    Tokens amount_;
    /** Highest ceiling that a witness acknowledged or that a change of witness stated. */
    Tokens acknowledgedCeiling_;
    bool holderOnly_ = false;
    Tokens ownBilled_;
    Tokens reserved_;
    std::map<Incarnation, BorrowerShare> borrowers_;
};

} // namespace swiftlift::ledger::internal
