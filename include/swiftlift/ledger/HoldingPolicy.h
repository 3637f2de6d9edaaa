#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/** Which of the two measures weighs more: it moves the figures of a policy, never its safety. */
enum class Weighting : std::uint8_t { Balanced, Refusals, Overspend };

/** @brief Between which amounts, in seconds of demand, a router keeps what it holds of a budget. */
struct Watermarks {
    /** Below it, more is drawn. Has to outlast a cut from the log. */
    double lowSeconds = 0;
    /** Up to it. What is held here is refused elsewhere until it is lent or given back. */
    double highSeconds = 0;
};

/** @brief Figures of a policy. docs/HOLDINGS.md says what was weighed for each. */
struct PolicySettings {
    Weighting weighting = Weighting::Balanced;
    /** Routers that a static split divides a budget between. */
    std::uint32_t splitBetween = 8;
    /** In place of those of the weighting. */
    std::optional<Watermarks> watermarks;
    /** Part of a budget, in percent, that the routers together draw before any demand has been seen. */
    std::uint32_t preallocationPercent = 0;
    /** False in a fleet whose witnesses only seal: a bill of a grant counts whenever it lands. */
    bool witnessesClose = true;
};

/** @brief One budget as one router sees it: all that a policy may decide from. */
struct BudgetSituation {
    /** Nothing: the policy's own. */
    std::optional<Weighting> weighting;
    /** Tokens per second reserved here of late. */
    double demand = 0;
    /** Tokens per second that all routers have billed of late, as far as the fold is read; zero: not known. */
    double fleetRate = 0;
    /** Largest recent request. */
    Tokens largest;
    /** Largest request that waits for money now; zero when none does. */
    Tokens need;
    /** Smallest request that waits for money now; zero when none does. */
    Tokens smallestNeed;
    /** Sum of the requests that wait for money now. */
    Tokens waiting;
    /** Not spent of the grants here, whether or not their witnesses answer. */
    Tokens remainder;
    /** Spendable here, at once or as soon as the witness acknowledges; what a silent witness holds up is left out. */
    Tokens free;
    /** Largest free part of one grant: a request is covered by one grant only. */
    Tokens largestFree;
    /** Sum of the grants that this incarnation was admitted, returned parts included. */
    Tokens drawn;
    /** What the fold, as far as it is read, says about the budget. */
    Tokens bought;
    Tokens available;
    bool logReachable = false;
    /** Part of the budget is to be held here though demand has not been seen for long enough to go by it. */
    bool preallocated = false;
    /** Routers of the fleet that live, as far as is known, this one included. */
    std::uint32_t routers = 1;
    /** Incarnations known to hold part of this budget, this one included. */
    std::uint32_t sharers = 1;
    /** Tokens were given back a moment ago because others were short: draw no more than what waits. */
    bool cautious = false;
    /** What another holder's draw was short by a moment ago; zero when none was. */
    Tokens othersShort;
    /** Since this router last gave part of the budget back. */
    Duration sinceReturn = Duration::max();
};

struct DrawDecision {
    Tokens wanted;
    Tokens least;
};

/**
 * @brief How much to hold. Pure decisions: the holder keeps to the ledger's rules whatever a policy says.
 */
class HoldingPolicy {
public:
    virtual ~HoldingPolicy() = default;

    /** @return What to draw now; nothing when what is held will do. */
    [[nodiscard]] virtual std::optional<DrawDecision> draw(const BudgetSituation& situation) const = 0;
    /** @return How far the witnessed ceiling should stand above what is spent, reserved and lent. */
    [[nodiscard]] virtual Tokens headRoom(const BudgetSituation& situation) const = 0;
    /** @return Part of `free` to give back to the budget now. */
    [[nodiscard]] virtual Tokens surplus(const BudgetSituation& situation) const = 0;
    /** @return A grant's remainder below this goes back when there are other grants: no request would fit it. */
    [[nodiscard]] virtual Tokens fragment(const BudgetSituation&) const { return {}; }
    /** @return How much to ask a peer for; zero: no loans. */
    [[nodiscard]] virtual Tokens loanSize(const BudgetSituation& situation) const = 0;
    /** @return How much of `free` a peer may borrow. */
    [[nodiscard]] virtual Tokens lendable(const BudgetSituation& situation) const = 0;
    /** @return Whether grants that the witness promised not to close are exchanged once the log is back. */
    [[nodiscard]] virtual bool renewsAlone() const { return true; }
    /** @return How long a request waits for what the others may give back, after they were told that money is short. */
    [[nodiscard]] virtual Duration returnPatience() const { return std::chrono::seconds(1); }
    /** @return Whether grants name a witness. */
    [[nodiscard]] virtual bool witnessed() const = 0;
    /**
     * @return Whether a witness may close the grants of a holder that it has sealed. Where none does, what is below a
     * ceiling may be spent and lent whether or not the log and the witness are in reach.
     */
    [[nodiscard]] virtual bool witnessesClose() const { return true; }
};

/**
 * @param name `grants`, `static_split` or `append_per_request`.
 * @param settings Figures.
 * @return Nothing for an unknown name.
 */
[[nodiscard]] std::unique_ptr<HoldingPolicy> makePolicy(std::string_view name, PolicySettings settings);

} // namespace swiftlift::ledger
