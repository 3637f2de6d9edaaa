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
#include "swiftlift/ledger/Entry.h"
#include "swiftlift/ledger/Fold.h"
#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger {

/** Part of a grant set aside for one request. */
struct Reservation {
    RequestKey key;
    BudgetRef budget;
    /** The grant that a bill will name: the holder's own, or the lender's. */
    GrantId grant;
    Tokens amount;
    /** Number of the loan it is part of; 0 for an own grant. */
    std::uint64_t loan = 0;
};

enum class ShortReason : std::uint8_t {
    /** The ledger, as far as it is read here, has not the money. */
    BudgetExhausted,
    /** The money is there, but it can't be had here now: a draw, a ceiling or a loan is under way or unreachable. */
    BudgetElsewhere,
};

struct Shortage {
    ShortReason reason = ShortReason::BudgetElsewhere;
    /** When asking again is worth it. */
    Duration retryAfter {};
    /** True while a draw, raise or loan is under way that may still cover the request. */
    bool pending = false;
};

/** What the policy is told of the world, each tick. */
struct HolderEnvironment {
    bool logReachable = false;
    bool stopping = false;
    /** The fold has reached the log's end: what it reads from now on is news. */
    bool caughtUp = true;
    /** Routers that live, this one included. */
    std::uint32_t routers = 1;
    /** Incarnation to name as witness, when there is one. */
    std::optional<Incarnation> witness;
    /** Peers to ask for loans, best first. */
    std::vector<Incarnation> lenders;
};

// Actions of holder and witness.
struct AppendEntry {
    Entry entry;
};
struct Ceiling {
    GrantId grant;
    Tokens ceiling;
    /** The holder may tell callers of bills that nobody else knows of, so the witness must never close this grant. */
    bool holderOnly = false;

    [[nodiscard]] bool operator==(const Ceiling&) const = default;
};
struct SendRaise {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
struct SendCeilingsAcked {
    Incarnation to;
    std::vector<Ceiling> ceilings;
};
struct SendCeilingsRefused {
    Incarnation to;
    std::vector<GrantId> grants;
};
struct SendLoanAsk {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens amount;
};
struct SendLoanGiven {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    GrantId grant;
    Tokens amount;
    /** As Ceiling::alone, of the lender's grant. */
    bool holderOnly = false;
};
struct SendLoanDenied {
    Incarnation to;
    std::uint64_t loan = 0;
    BudgetRef budget;
    Tokens free;
};
struct SendLoanDone {
    Incarnation to;
    std::uint64_t loan = 0;
    Tokens billed;
};
struct SendLoanDoneAcked {
    Incarnation to;
    std::uint64_t loan = 0;
};
/** More money can be reserved from this budget than before: waiting requests may be tried again. */
struct TokensAvailable {
    BudgetRef budget;
};
/** The ledger has retired this incarnation, or a prefix has a hole: the process has to go on under a new one. */
struct Retired {
    std::string reason;
};

using LedgerAction = std::variant<AppendEntry, SendRaise, SendCeilingsAcked, SendCeilingsRefused, SendLoanAsk,
    SendLoanGiven, SendLoanDenied, SendLoanDone, SendLoanDoneAcked, TokensAvailable, Retired>;
using LedgerActions = std::vector<LedgerAction>;

/** One grant as its holder, or one loan as its borrower sees it; for operators and audits. */
struct HoldingView {
    BudgetRef budget;
    GrantId grant;
    /** What may be spent at most: the grant less what was given back, or the loan. */
    Tokens amount;
    /** Highest ceiling acknowledged; equal to `amount` without a witness. */
    Tokens ceiling;
    Tokens billed;
    Tokens reserved;
    /** Of an own grant: part of it that peers have on loan. */
    Tokens lent;
    /** Of a loan: its amount; zero for an own grant. */
    Tokens borrowed;
    Incarnation witness;
    /** False once it is sealed, being closed or being given back. */
    bool usable = false;
};

namespace internal {
    class HolderImpl;
}

/**
 * @brief How one router holds, spends, lends and gives back tokens of one ledger shard.
 *
 * No I/O, no threads, no clock. Entries it emits have to land in the order in which they were emitted. See
 * docs/HOLDINGS.md, H1 to H12, for the rules it keeps.
 */
class Holder {
public:
    /**
     * @param self Incarnation that owns the grants.
     * @param policy How much to hold.
     * @param fold The reader's state of this shard; outlives the holder.
     */
    Holder(Incarnation self, std::unique_ptr<HoldingPolicy> policy, const Fold& fold);
    /** Copies the state, to go on over an equal fold. */
    Holder(const Holder& other, const Fold& fold);
    ~Holder();
    Holder(Holder&&) noexcept;
    Holder& operator=(Holder&&) noexcept;

    /**
     * @brief Sets aside the most a request can cost. A repeat with the same key while short counts as the same demand.
     * @param amount More than zero.
     */
    [[nodiscard]] std::variant<Reservation, Shortage> reserve(
        const BudgetRef& budget, RequestKey key, Tokens amount, Instant now, LedgerActions& actions);
    /** @brief The request with this key was refused for good: it waits no more, and doesn't count as demand. */
    void withdraw(const BudgetRef& budget, RequestKey key, Instant now);
    /** @return The largest amount that one request could be given now. */
    [[nodiscard]] Tokens spendable(const BudgetRef& budget) const;
    /**
     * @brief Bills what the request did cost and frees the rest.
     * @param actual Not above the reservation's amount; zero bills nothing.
     */
    void settle(const Reservation& reservation, Tokens actual, LedgerActions& actions);
    /** The request was never run: nothing is billed. */
    void release(const Reservation& reservation, LedgerActions& actions);

    /** Holds the policy's share of this budget from now on, also before anybody asks for it. */
    void preallocate(const BudgetRef& budget);
    /** Which of the two measures weighs more for this budget; the policy's own weighting until told. */
    void setWeighting(const BudgetRef& budget, Weighting weighting);
    /** @return Whether nobody else can close the grant behind the reservation: its bill will count when it lands. */
    [[nodiscard]] bool isHolderOnly(const Reservation& reservation) const;
    /** @return Whether a loan of this holder's is on the grant. */
    [[nodiscard]] bool borrowsFrom(const GrantId& grant) const;

    /** Takes each effect of the fold, in order. */
    void onEffect(const Effect& effect, Instant now, LedgerActions& actions);
    void onCeilingsAcked(Incarnation from, const std::vector<Ceiling>& ceilings, Instant now, LedgerActions& actions);
    void onCeilingsRefused(Incarnation from, const std::vector<GrantId>& grants, Instant now, LedgerActions& actions);
    void onLoanAsk(Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens amount, Instant now,
        LedgerActions& actions);
    void onLoanGiven(Incarnation from, std::uint64_t loan, const BudgetRef& budget, GrantId grant, Tokens amount,
        Instant now, LedgerActions& actions, bool holderOnly = false);
    void onLoanDenied(Incarnation from, std::uint64_t loan, const BudgetRef& budget, Tokens free, Instant now,
        LedgerActions& actions);
    /** @param billed Sum of the bill entries that the borrower emitted on this loan, counted or not. */
    void onLoanDone(Incarnation from, std::uint64_t loan, Tokens billed, Instant now, LedgerActions& actions);
    void onLoanDoneAcked(Incarnation from, std::uint64_t loan, Instant now, LedgerActions& actions);
    /** Comes at least every 50 ms: repeats, draws, returns and closes. */
    void onTick(Instant now, const HolderEnvironment& environment, LedgerActions& actions);

    /** @return Whether no grant is open or in flight and no loan is unfinished; reached after stopping or retirement.
     */
    [[nodiscard]] bool drained() const;
    [[nodiscard]] std::vector<HoldingView> holdings() const;
    /** @return Complete state as text; equal texts behave equally. For audits and state exploration. */
    [[nodiscard]] std::string stateText() const;

private:
    std::unique_ptr<internal::HolderImpl> book_;
};

} // namespace swiftlift::ledger
