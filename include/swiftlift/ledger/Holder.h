#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/BudgetHomes.h"
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger {

/** @brief Tokens of one grant or loan that are set aside for one request. */
struct Reservation {
    RequestKey key;
    BudgetRef budget;
    /** Grant that the request's bill will name: a grant of this holder, or the lender's grant when `loan` is not 0. */
    GrantId grant;
    Tokens amount;
    /** Number of the loan that the tokens belong to; 0 when they belong to a grant of this holder. */
    std::uint64_t loan = 0;
};

/** @brief Why a request could not be covered. */
enum class ShortReason : std::uint8_t {
    /** The budget has fewer unbilled tokens than the request needs, as far as the ledger has been read here. */
    BudgetExhausted,
    /**
     * The budget has enough unbilled tokens, but this holder can't spend them now: they are in other grants, or a draw,
     * a ceiling raise or a loan is in flight or can't be made.
     */
    TokensHeldElsewhere,
};

/** @brief Answer to a request that could not be covered. */
struct Shortage {
    ShortReason reason = ShortReason::TokensHeldElsewhere;
    /** How long the caller should wait before it retries. */
    Duration retryAfter {};
    /** True while a draw, ceiling raise, loan or other holder's return is in flight that may still cover the request.
     */
    bool pending = false;
};

/** @brief Surroundings of a holder, passed in with each tick. */
struct HolderEnvironment {
    bool logReachable = false;
    bool stopping = false;
    /** The fold has caught up with the end of the log, so records that it reads from now on are recent. */
    bool caughtUp = true;
    /** Number of live routers, this one included. */
    std::uint32_t routers = 1;
    /** Incarnation to name as witness; empty when no router is available as witness. */
    std::optional<Incarnation> witness;
    /** Peers that loans may be requested from, in order of preference. */
    std::vector<Incarnation> lenders;
    /** The fleet's routers, from which the homes of each budget are chosen; empty: not known. */
    RoutersByDomain domains;
    /** False while this router may know few of the fleet's routers: it preallocates nothing until then. */
    bool fleetKnown = true;
};

// Actions that a holder or a witness returns for its caller to execute.

/** @brief Append an entry to the ledger's log. */
struct AppendEntry {
    Entry entry;
};
/** @brief Amount up to which a grant may be spent, and whether its witness may close the grant. */
struct Ceiling {
    GrantId grant;
    Tokens ceiling;
    /**
     * Holder-only grant: the holder may answer callers before any other router has their bills, so the witness must
     * never close the grant.
     */
    bool holderOnly = false;

    [[nodiscard]] bool operator==(const Ceiling&) const = default;
};
/** @brief Ask the witness to raise the ceilings of grants. */
struct SendRaise {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
/** @brief Witness's answer: it will not seal the grants below these ceilings. */
struct SendCeilingsAcked {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
/** @brief Witness's answer: it does not raise the ceilings of these grants. */
struct SendCeilingsRefused {
    Incarnation to;
    std::vector<GrantId> grants;
};
/** @brief Ask a peer to lend tokens. */
struct SendLoanAsk {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens amount;
};
/** @brief Lender's answer: the loan is granted. */
struct SendLoanGiven {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    GrantId grant;
    Tokens amount;
    /** Whether the lender's grant is holder-only; see Ceiling::holderOnly. */
    bool holderOnly = false;
};
/** @brief Lender's answer: the loan is denied; `free` is what the lender could have lent. */
struct SendLoanDenied {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens free;
};
/** @brief Borrower's notice that it spends nothing more of a loan; `billed` is the sum of the bills it emitted. */
struct SendLoanDone {
    Incarnation to;
    std::uint64_t loan = 0;
    Tokens billed;
};
/** @brief Lender's acknowledgement of SendLoanDone. */
struct SendLoanDoneAcked {
    Incarnation to;
    std::uint64_t loan = 0;
};
/** @brief More tokens of this budget can be reserved than before, so waiting requests may be retried. */
struct TokensAvailable {
    BudgetRef budget;
};
/**
 * @brief The ledger has retired this incarnation, or the log read so far has a gap: the process has to continue under a
 * new incarnation.
 */
struct Retired {
    std::string reason;
};

using LedgerAction = std::variant<AppendEntry, SendRaise, SendCeilingsAcked, SendCeilingsRefused, SendLoanAsk,
    SendLoanGiven, SendLoanDenied, SendLoanDone, SendLoanDoneAcked, TokensAvailable, Retired>;
using LedgerActions = std::vector<LedgerAction>;

/** @brief State of one grant at its holder, or of one loan at its borrower, for operators and audits. */
struct HoldingView {
    BudgetRef budget;
    GrantId grant;
    /** Upper bound of what may be spent: the grant less what was returned, or the loan. */
    Tokens amount;
    /** Highest ceiling that the witness acknowledged; equal to `amount` without a witness. */
    Tokens ceiling;
    Tokens billed;
    Tokens reserved;
    /** Grant: tokens that peers have on loan. Loan: zero. */
    Tokens lent;
    /** Loan: its amount. Grant: zero. */
    Tokens borrowed;
    Incarnation witness;
    /**
     * True while the grant is open or the loan is held; false while it is drawn, and once it is sealed, closing or
     * ending.
     */
    bool usable = false;
};

namespace internal {
    class HolderImpl;
}

/**
 * @brief Holds, spends, lends and returns the tokens of one router in one ledger shard.
 *
 * Does no I/O, starts no threads and reads no clock. The caller has to append the emitted entries to the log in the
 * order in which they were emitted. Rules H1 to H12 are in docs/HOLDINGS.md.
 */
class Holder {
public:
    /**
     * @param self Incarnation that owns the grants.
     * @param policy Decides how much to draw, return and lend.
     * @param fold State of this shard as read from the log; has to outlive the holder.
     */
    Holder(Incarnation self, std::unique_ptr<HoldingPolicy> policy, const Fold& fold);
    /** @brief Copies the state of `other` onto `fold`, which has to be in the same state as the fold of `other`. */
    Holder(const Holder& other, const Fold& fold);
    ~Holder();
    Holder(Holder&&) noexcept;
    Holder& operator=(Holder&&) noexcept;

    /**
     * @brief Reserves the most that a request can cost. A retry with the same key does not count as new demand.
     * @param amount Tokens to reserve; more than zero.
     * @return The reservation, or why and for how long the request is short.
     */
    [[nodiscard]] std::variant<Reservation, Shortage> reserve(
        const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions);
    /** @brief Removes a finally refused request from the waiting requests and from the demand. */
    void withdraw(const BudgetRef& budget, RequestKey key, Instant now);
    /** @return The largest amount that one request could reserve now. */
    [[nodiscard]] Tokens spendable(const BudgetRef& budget) const;
    /**
     * @brief Bills what the request has cost and frees the rest of its reservation.
     * @param actual Cost in tokens, at most the reservation's amount; zero emits no bill.
     */
    void settle(const Reservation& reservation, Tokens actual, LedgerActions& actions);
    /** @brief Frees the reservation of a request that was never run; emits no bill. */
    void release(const Reservation& reservation, LedgerActions& actions);

    /** @brief Lets the policy hold part of this budget before there is demand for it. */
    void preallocate(const BudgetRef& budget);
    /** @brief Sets the weighting of this budget; until then the policy's own weighting applies. */
    void setWeighting(const BudgetRef& budget, Weighting weighting);
    /** @return Whether only its holder can close the reservation's grant, so that the bill will count when it lands. */
    [[nodiscard]] bool isHolderOnly(const Reservation& reservation) const;
    /** @return Whether this holder has a loan on the grant. */
    [[nodiscard]] bool borrowsFrom(const GrantId& grant) const;

    /** @brief Processes one effect of the fold; has to be called for each effect, in order. */
    void onEffect(const Effect& effect, Instant now, LedgerActions& actions);
    void onCeilingsAcked(Incarnation from, const std::vector<Ceiling>& ceilings, Instant now, LedgerActions& actions);
    void onCeilingsRefused(Incarnation from, const std::vector<GrantId>& grants, Instant now, LedgerActions& actions);
    void onLoanAsk(Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now,
        LedgerActions& actions);
    void onLoanGiven(Incarnation from, std::uint64_t loan, const BudgetRef& budget, GrantId grant, Tokens amount,
        Instant now, LedgerActions& actions, bool holderOnly = false);
    void onLoanDenied(Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens free, Instant now,
        LedgerActions& actions);
    /**
     * @param billed Sum of the bill entries that the borrower emitted on this loan, whether or not the fold counts
     * them.
     */
    void onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions);
    void onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions& actions);
    /** @brief Retries messages, and draws, returns and closes grants as needed. Has to be called at least every 50 ms.
     */
    void onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions);

    /**
     * @return Whether no grant is left and no loan is unfinished; becomes true after the holder was stopped or retired.
     */
    [[nodiscard]] bool drained() const;
    [[nodiscard]] std::vector<HoldingView> holdings() const;
    /** @return Complete state as text, for audits and state exploration; holders with equal texts behave equally. */
    [[nodiscard]] std::string stateText() const;

private:
    std::unique_ptr<internal::HolderImpl> impl_;
};

} // namespace swiftlift::ledger
