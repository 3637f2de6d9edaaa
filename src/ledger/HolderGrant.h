#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

enum class HolderGrantState : std::uint8_t {
    /** The draw is in flight: nothing of it may be spent. */
    Drawing,
    Open,
    /** The witness capped it; what is reserved may still be billed. */
    Sealed,
    /** CloseGrant was emitted: nothing of it is spent any more. */
    Closing,
};

/** @brief What one borrower has of one grant. */
struct BorrowerShare {
    std::uint32_t openLoans = 0;
    /** Sum of its loans that are not done. */
    Tokens lent;
    /** What its done loans are counted as, until its bills have been read back. */
    Tokens charged;
    /** Sum of the bills that it said it emitted on done loans. */
    Tokens toRead;
    /** Sum of its bills read back, counted or not. */
    Tokens read;
    /** Sum of its bills read back that counted. */
    Tokens counted;

    /** @return Whether every loan is done and every bill has been read back. */
    [[nodiscard]] bool settled() const noexcept { return openLoans == 0 && read >= toRead; }
    [[nodiscard]] Tokens charge() const noexcept { return lent + charged; }
    /** Once all is read back, the charge is what counted: bills that did not count cost nothing. */
    void settle() noexcept
    {
        if (settled())
            charged = counted;
    }
};

/** @brief One grant of this incarnation, with the rules of what may be spent of it (H1 to H8 of docs/HOLDINGS.md). */
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
    [[nodiscard]] bool changingWitness() const noexcept { return changingTo_.has_value(); }
    [[nodiscard]] Tokens amount() const noexcept { return amount_; }
    [[nodiscard]] Tokens ceiling() const noexcept;
    [[nodiscard]] Tokens billed() const noexcept;
    [[nodiscard]] Tokens reserved() const noexcept { return reserved_; }
    [[nodiscard]] Tokens lent() const noexcept;
    /** @return billed + reserved + lent. */
    [[nodiscard]] Tokens charge() const noexcept;
    /** @return What may be reserved or lent now. */
    [[nodiscard]] Tokens free() const noexcept;
    /** @return What may be reserved or lent once the witness has acknowledged the whole grant. */
    [[nodiscard]] Tokens remainder() const noexcept;
    /** @return Whether nothing is reserved, lent or still to be billed by a borrower. */
    [[nodiscard]] bool idle() const noexcept;

    void admitted(Tokens amount, Incarnation witness);
    void reserve(Tokens amount);
    /** @param billed Part of `reserved` that a bill now charges. */
    void settle(Tokens reserved, Tokens billed);
    /** An own bill did not count: its tokens are free again. */
    void refund(Tokens tokens);
    void giveBack(Tokens amount);
    void close() noexcept { state_ = HolderGrantState::Closing; }
    void seal() noexcept;

    void acknowledged(Incarnation from, Tokens ceiling, bool holderOnly);
    /** From now on no witness is named for it. */
    void stayAlone() noexcept { holderOnly_ = true; }
    /** @return Whether the witness has promised never to close it. For good, so the witness never changes again. */
    [[nodiscard]] bool holderOnly() const noexcept { return holderOnly_; }
    /** @return The ceiling to state in the log. */
    Tokens changeWitness(Incarnation to, Tokens headRoom);
    /** The log says who the witness is. */
    void witnessRead(Incarnation witness);

    void lend(Incarnation borrower, Tokens amount);
    /** @param billed Sum of the bill entries that the borrower emitted. */
    void loanDone(Incarnation borrower, Tokens amount, Tokens billed);
    void borrowerBilled(Incarnation borrower, Tokens tokens, bool counted);

    void print(std::ostream& out) const;

    /** The ceiling last asked for, when, how often in vain, and whether the witness refused: for repeats only. */
    struct Raise {
        Tokens asked;
        bool holderOnly = false;
        Instant firstAskedAt {};
        Instant askedAt {};
        std::uint32_t attempts = 0;
        bool refused = false;
    };
    Raise raise;

private:
    GrantId id_;
    BudgetRef budget_;
    HolderGrantState state_ = HolderGrantState::Drawing;
    Incarnation witness_;
    std::optional<Incarnation> changingTo_;
    /** AdmissionDecision, less what was given back. */
    Tokens amount_;
    /** Highest ceiling acknowledged, or stated in a change of witness. */
    Tokens acknowledged_;
    bool holderOnly_ = false;
    Tokens ownBilled_;
    Tokens reserved_;
    std::map<Incarnation, BorrowerShare> borrowers_;
};

} // namespace swiftlift::ledger::internal
