#pragma once

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/**
 * @brief Policy that sizes grants by demand, between a low and a high watermark, and borrows from peers when draws
 * don't help.
 */
class DemandGrantsPolicy final : public HoldingPolicy {
public:
    explicit DemandGrantsPolicy(const PolicySettings& settings);

    [[nodiscard]] std::optional<DrawDecision> draw(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens headroom(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens surplus(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens minUsefulRemainder(const BudgetSituation& situation) const override
    {
        return situation.largest;
    }
    [[nodiscard]] Tokens loanSize(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens lendable(const BudgetSituation& situation) const override;
    [[nodiscard]] LoanTerms loanTerms() const override { return settings_.loans; }
    [[nodiscard]] Duration maxReturnWait() const override;
    [[nodiscard]] bool witnessed() const override { return true; }
    [[nodiscard]] bool witnessesClose() const override { return settings_.witnessesClose; }

private:
    /** @return Most that is to be held of a budget that will soon be used up; empty while its end can't be foreseen. */
    [[nodiscard]] std::optional<Tokens> mostHeld(const BudgetSituation& situation) const;
    /** @return Tokens, but at most mostHeld(). */
    [[nodiscard]] Tokens limited(Tokens tokens, const BudgetSituation& situation) const;
    /** @return Estimate of the tokens per second that all routers together spend of the budget; zero: unknown. */
    [[nodiscard]] double estimateFleetRate(const BudgetSituation& situation) const;
    [[nodiscard]] Watermarks watermarks(const BudgetSituation& situation) const;
    /** @return Tokens to hold before there is demand; zero when demand is known. */
    [[nodiscard]] Tokens preallocation(const BudgetSituation& situation) const;
    /** @return Low watermark in tokens by demand alone; lowWatermark() is at least the largest recent request. */
    [[nodiscard]] Tokens lowDemandWatermark(const BudgetSituation& situation) const;
    [[nodiscard]] Tokens lowWatermark(const BudgetSituation& situation) const;
    /** @return High watermark in tokens, with room for the largest recent request. */
    [[nodiscard]] Tokens highWatermark(const BudgetSituation& situation) const;

    PolicySettings settings_;
};

} // namespace swiftlift::ledger::internal
