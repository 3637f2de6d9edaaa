#pragma once

#include <algorithm>
#include <cstdint>

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief Baseline policy: draws an equal part of the bought tokens at first use, and never returns or lends any. */
class StaticSplitPolicy final : public HoldingPolicy {
public:
    explicit StaticSplitPolicy(std::uint32_t parts)
        : parts_(std::max(parts, 1U))
    {
    }

    [[nodiscard]] std::optional<DrawDecision> draw(const BudgetSituation& situation) const override
    {
        const Tokens part { situation.bought.value() / parts_ };
        if (situation.need == Tokens {} || situation.drawn >= part)
            return {};
        return DrawDecision { part - situation.drawn, Tokens { 1 } };
    }

    [[nodiscard]] Tokens headroom(const BudgetSituation& situation) const override { return situation.free; }
    [[nodiscard]] Tokens surplus(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] Tokens loanSize(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] Tokens lendable(const BudgetSituation&) const override { return {}; }
    [[nodiscard]] bool replacesHolderOnlyGrants() const override { return false; }
    [[nodiscard]] bool witnessed() const override { return false; }

private:
    std::uint32_t parts_;
};

} // namespace swiftlift::ledger::internal
