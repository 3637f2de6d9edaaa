#pragma once

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger::internal {

/** @brief Grants sized by demand, between a low and a high watermark, with loans from peers when the log is no help. */
class DemandGrantsPolicy final : public HoldingPolicy {
public:
    explicit DemandGrantsPolicy(const PolicySettings& settings);

    [[nodiscard]] std::optional<DrawDecision> draw(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens headRoom(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens surplus(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens fragment(const BudgetSituation& situation) const override { return situation.largest; }
    [[nodiscard]] Tokens loanSize(const BudgetSituation& situation) const override;
    [[nodiscard]] Tokens lendable(const BudgetSituation& situation) const override;
    [[nodiscard]] Duration returnPatience() const override;
    [[nodiscard]] bool witnessed() const override { return true; }
    [[nodiscard]] bool witnessesClose() const override { return settings_.witnessesClose; }

private:
    /** @return What part of its watermarks a router may hold, from 0 to 1, by how long the budget still lasts. */
    [[nodiscard]] double shrunk(const BudgetSituation& situation) const;
    /** @return Tokens per second that all routers together spend of the budget, as far as can be told; zero: unknown.
     */
    [[nodiscard]] double fleetRateOf(const BudgetSituation& situation) const;
    [[nodiscard]] Watermarks watermarks(const BudgetSituation& situation) const;
    [[nodiscard]] Tokens stock(const BudgetSituation& situation) const;
    /** @return The low watermark of the demand alone; low() also has room for the largest request. */
    [[nodiscard]] Tokens lowDemand(const BudgetSituation& situation) const;
    [[nodiscard]] Tokens low(const BudgetSituation& situation) const;
    [[nodiscard]] Tokens high(const BudgetSituation& situation) const;

    PolicySettings settings_;
};

} // namespace swiftlift::ledger::internal
