#pragma once

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief Baseline: every request draws its own amount and gives the rest back at once. */
class AppendPerRequestPolicy final : public HoldingPolicy {
public:
    /** Requests that wait while a draw is in flight are drawn for together, as one draw is in flight at a time. */
    [[nodiscard]] std::optional<DrawDecision> draw(const BudgetSituation& situation) const override
    {
        if (situation.waiting <= situation.free && situation.need <= situation.largestFree)
            return {};
        return DrawDecision { situation.waiting, situation.smallestNeed };
    }

    [[nodiscard]] Tokens headRoom(const BudgetSituation& situation) const override { return situation.free; }
    [[nodiscard]] Tokens surplus(const BudgetSituation& situation) const override { return situation.free; }
    [[nodiscard]] Tokens loanSize(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] Tokens lendable(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] bool witnessed() const override { return false; }
};

} // namespace swiftlift::ledger::internal
