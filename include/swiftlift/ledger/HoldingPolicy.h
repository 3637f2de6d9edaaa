#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/**
 * @brief Whether a policy avoids refusals or overspend more. Changes how much is held, never the ledger's guarantees.
 */
enum class Weighting : std::uint8_t { Balanced, Refusals, Overspend };

/** @brief Bounds of what a router holds of a budget, in seconds of its demand. */
struct Watermarks {
    /** More is drawn when less than this is held. Has to last while the log is unreachable. */
    double lowSeconds = 0;
    /** Draws fill up to this. Other routers can't spend what is held here until it is lent or returned. */
    double highSeconds = 0;
};

/** @brief How a router borrows tokens of a budget from its peers, and what it lends them. */
struct LoanTerms {
    /**
     * Number of lenders that may be asked at the same time. Above 1, those that lent recently all that they were asked
     * for come first, and one that did not is asked again after a pause.
     */
    std::uint32_t asksAtOnce = 1;
    /** Size of a loan beyond the waiting requests, in seconds of demand. */
    double sizeSeconds = 2;
    /**
     * In an outage, a lender keeps this many seconds of its own demand and lends the rest. Empty: it keeps the low
     * watermark, but lends at least half of what is free.
     */
    std::optional<double> keptSeconds {};
};

/**
 * @return Terms for fleets in which most routers have little demand for a budget, and few have most of it. The defaults
 * of LoanTerms ask the nearest lenders one after the other.
 */
[[nodiscard]] LoanTerms demandLoanTerms() noexcept;

/** @brief Parameters of a policy; docs/HOLDINGS.md explains each choice. */
struct PolicySettings {
    Weighting weighting = Weighting::Balanced;
    /** Number of routers that a static split divides a budget between. */
    std::uint32_t splitBetween = 8;
    /** Replaces the watermarks of the weighting when set. */
    std::optional<Watermarks> watermarks;
    /** Percentage of a budget that all routers together draw before there is demand. */
    std::uint32_t preallocationPercent = 0;
    /** False in a fleet whose witnesses seal but never close grants: there, a bill counts however late it lands. */
    bool witnessesClose = true;
    LoanTerms loans;
};

/** @brief State of one budget at one router: the complete input of a policy's decisions. */
struct BudgetSituation {
    /** Weighting of this budget; empty: the policy's own weighting. */
    std::optional<Weighting> weighting;
    /** Tokens per second that requests have recently tried to reserve at this router. */
    double demand = 0;
    /** Tokens per second that all routers have recently billed, as far as the log has been read; zero: unknown. */
    double fleetRate = 0;
    /** Tokens per second of `fleetRate` that this router has billed. Bills are a part of what requests reserve. */
    double billedRate = 0;
    /** Largest recent request at this router. */
    Tokens largest;
    /** Largest of the requests that wait for tokens; zero when none waits. */
    Tokens need;
    /** Smallest of the requests that wait for tokens; zero when none waits. */
    Tokens smallestNeed;
    /** Sum of the requests that wait for tokens. */
    Tokens waiting;
    /** Unspent tokens of this router's grants, whether or not their witnesses answer. */
    Tokens remainder;
    /**
     * Tokens spendable at once or as soon as the witness acknowledges them; without those above the ceiling of a grant
     * whose witness does not answer.
     */
    Tokens free;
    /** Largest part of `free` in one grant or loan: each request is covered by a single grant. */
    Tokens largestFree;
    /** Sum of the grants that the ledger admitted to this incarnation, including parts returned since. */
    Tokens drawn;
    /** Tokens bought for the budget, and those held by no grant, as far as the log has been read. */
    Tokens bought;
    Tokens available;
    /**
     * Tokens that grants held when this incarnation first saw the budget: of incarnations that have ended, of those
     * that live on, and of grants that are used up.
     */
    Tokens heldAtStart;
    bool logReachable = false;
    /** Part of the budget is to be held here, since demand has not been observed for long enough to rely on it. */
    bool preallocated = false;
    /** Number of routers known to be alive, this one included. */
    std::uint32_t routers = 1;
    /** Number of incarnations known to hold part of this budget, this one included. */
    std::uint32_t sharers = 1;
    /** Tokens were returned recently because other holders were short: draw only what waiting requests need. */
    bool drawOnlyForWaiting = false;
    /** Shortfall of another holder's recent draw; zero when there was none. */
    Tokens othersShortfall;
    /** Time since this router last returned tokens of the budget. */
    Duration sinceReturn = Duration::max();
};

/** @brief Size of a draw. */
struct DrawDecision {
    /** Tokens to draw. */
    Tokens wanted;
    /** Smallest amount that is of use; the draw is refused when less is available. */
    Tokens least;
};

/**
 * @brief Decides how much of a budget a router holds. Stateless; the holder keeps the ledger's rules whatever a policy
 * decides.
 */
class HoldingPolicy {
public:
    virtual ~HoldingPolicy() = default;

    /** @return Size of the draw to make now; nothing when no draw is needed. */
    [[nodiscard]] virtual std::optional<DrawDecision> draw(const BudgetSituation& situation) const = 0;
    /** @return How far the witnessed ceiling should be above the sum of what is billed, reserved and lent. */
    [[nodiscard]] virtual Tokens headroom(const BudgetSituation& situation) const = 0;
    /** @return Part of `free` to return to the budget now. */
    [[nodiscard]] virtual Tokens surplus(const BudgetSituation& situation) const = 0;
    /**
     * @return Smallest remainder of a grant worth keeping: a smaller one fits no request, so it is returned when there
     * are other grants.
     */
    [[nodiscard]] virtual Tokens minUsefulRemainder(const BudgetSituation&) const { return {}; }
    /** @return Size of the loan to request from a peer; zero: none. */
    [[nodiscard]] virtual Tokens loanSize(const BudgetSituation& situation) const = 0;
    /** @return Part of `free` that a peer may borrow. */
    [[nodiscard]] virtual Tokens lendable(const BudgetSituation& situation) const = 0;
    /** @return How loans are requested. */
    [[nodiscard]] virtual LoanTerms loanTerms() const { return {}; }
    /** @return Whether holder-only grants are replaced once the log is reachable again. */
    [[nodiscard]] virtual bool replacesHolderOnlyGrants() const { return true; }
    /** @return How long after a shortage signal requests wait for other holders to return tokens. */
    [[nodiscard]] virtual Duration maxReturnWait() const { return std::chrono::seconds(1); }
    /** @return Whether draws name a witness. */
    [[nodiscard]] virtual bool witnessed() const = 0;
    /**
     * @return Whether witnesses may close the grants that they have sealed. If not, tokens below a ceiling may be spent
     * and lent even while both the log and the witness are unreachable.
     */
    [[nodiscard]] virtual bool witnessesClose() const { return true; }
};

/**
 * @param name `grants`, `static_split` or `append_per_request`.
 * @param settings Parameters of the policy.
 * @return The policy; null for an unknown name.
 */
[[nodiscard]] std::unique_ptr<HoldingPolicy> makePolicy(std::string_view name, PolicySettings settings);

} // namespace swiftlift::ledger
