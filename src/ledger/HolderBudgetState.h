#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <vector>

#include "ledger/HolderDemand.h"
#include "ledger/LenderRanking.h"
#include "ledger/LenderRotation.h"
#include "ledger/ShortageSignals.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/BudgetHomes.h"
#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief State of one budget at a holder: demand, waiting requests, the draw in flight, and other holders. */
struct HolderBudgetState {
    /** Numbers of this holder's grants of the budget that are not closed, oldest first. */
    std::vector<std::uint32_t> grants;
    /** Numbers of this holder's loans that the lenders have not acknowledged as done, oldest first. */
    std::vector<std::uint64_t> loans;
    /** Weighting of this budget; empty: the policy's own weighting. */
    std::optional<Weighting> weighting;
    /** Who holds the budget for the routers of a failure domain. */
    BudgetHomes homes;
    /** Whether part of the budget is to be held before there is demand. */
    bool preallocated = false;
    /** Tokens that grants held when this holder had first read the log to its end; empty before that. */
    std::optional<Tokens> heldAtStart;
    /** Requests at this router. */
    HolderDemand demand;
    /** Counted bills of all routers. */
    HolderDemand billed;
    /** Counted bills of this router. */
    HolderDemand ownBilled;
    WaitingRequests waitingRequests;
    /** Grant whose draw is in flight; at most one per budget (H1). */
    std::optional<GrantId> pendingDraw;
    /** Tokens wanted by the draw in flight, and when the draw was emitted. */
    Tokens pendingDrawAmount;
    Instant pendingDrawSince {};
    /** Sum of the grants that the ledger admitted to this incarnation. */
    Tokens drawn;
    /** Other holders that share the budget, with the time at which each was last seen drawing. */
    std::map<Incarnation, Instant> sharers;

    /** When surplus tokens were last returned. */
    std::optional<Instant> lastReturnAt;
    /** Time until which draws cover only waiting requests. */
    Instant drawOnlyForWaitingUntil {};
    /** Shortfall of another holder's latest short draw, and the time until which it is considered. */
    Tokens othersShortfall;
    Instant othersShortfallUntil {};
    ShortageSignals shortageSignals;
    LenderRotation lenderRotation;
    LenderRanking lenderRanking;

    /** @return Whether this router borrows for each request, as other routers hold the budget for it. */
    [[nodiscard]] bool borrowsAll() const noexcept { return homes.shared() && !homes.isHome(); }
    /** @return Whether the budget needs no upkeep. */
    [[nodiscard]] bool isIdle() const
    {
        return !preallocated && grants.empty() && loans.empty() && waitingRequests.empty();
    }

    /** @brief Records that another holder drew from this budget or holds part of it. */
    void recordSharer(Incarnation holder, Instant now);
    /** @return Number of holders that drew recently, this one included. */
    [[nodiscard]] std::uint32_t sharerCount(Instant now) const;

    void print(std::ostream& out) const;
};

} // namespace swiftlift::ledger::internal
