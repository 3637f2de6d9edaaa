#pragma once

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief Baseline policy: draws the amount of each request separately and returns the rest as soon as it is billed. */
class AppendPerRequestPolicy final : public HoldingPolicy {
public:
    /** Only one draw is in flight at a time, so requests that wait meanwhile share the next draw. */
    [[nodiscard]] std::optional<DrawDecision> draw(const BudgetSituation& situation) const override
    {
        if (situation.waiting <= situation.free && situation.need <= situation.largestFree)
            return {};
        return DrawDecision { situation.waiting, situation.smallestNeed };
    }

    [[nodiscard]] Tokens headroom(const BudgetSituation& situation) const override { return situation.free; }
    [[nodiscard]] Tokens surplus(const BudgetSituation& situation) const override { return situation.free; }
    [[nodiscard]] Tokens loanSize(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] Tokens lendable(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] bool witnessed() const override { return false; }
};

} // namespace swiftlift::ledger::internal
