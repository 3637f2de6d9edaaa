#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <vector>

#include "ledger/HolderDemand.h"
#include "ledger/LenderRotation.h"
#include "ledger/ShortageSignals.h"
#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief What a holder knows of one budget beside its grants and loans: demand, sharers, and when it last acted. */
struct HolderBudgetState {
    /** Numbers of its grants that are not closed, oldest first. */
    std::vector<std::uint32_t> grants;
    /** Numbers of its loans that are not acknowledged as done, oldest first. */
    std::vector<std::uint64_t> loans;
    std::optional<Weighting> weighting;
    /** A share of the budget is to be held before there is demand. */
    bool preallocated = false;
    HolderDemand demand;
    /** What all routers bill. */
    HolderDemand billed;
    HolderWants wants;
    /** The draw in flight; at most one (H1). */
    std::optional<GrantId> drawing;
    Tokens drawingWanted;
    Instant drawingSince {};
    /** Sum of the grants admitted. */
    Tokens drawn;
    /** Other holders seen drawing, and when last. */
    std::map<Incarnation, Instant> sharers;

    std::optional<Instant> returnedAt;
    /** Until then no more is drawn than waits. */
    Instant cautiousUntil {};
    Tokens othersShort;
    Instant othersShortUntil {};
    ShortageSignals signals;
    LenderRotation rounds;

    /** @return Whether there is nothing to look after. */
    [[nodiscard]] bool quiet() const { return !preallocated && grants.empty() && loans.empty() && wants.empty(); }

    /** Another holder drew from this budget, or holds part of it. */
    void saw(Incarnation holder, Instant now);
    /** @return Holders that drew of late, this one included. */
    [[nodiscard]] std::uint32_t sharerCount(Instant now) const;

    void print(std::ostream& out) const;
};

} // namespace swiftlift::ledger::internal
