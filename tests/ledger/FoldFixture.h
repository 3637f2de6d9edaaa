#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "swiftlift/ledger/Fold.h"

namespace swiftlift::ledger {

/** Fold with one budget, and authors whose items are numbered by the fixture. */
class FoldFixture : public testing::Test {
protected:
    /** Author of the entries that operators append. */
    static constexpr Incarnation operators { 1 };
    static constexpr Incarnation alice { 10 };
    static constexpr Incarnation bob { 11 };
    static constexpr Incarnation carol { 12 };
    const BudgetRef budget { AccountId { "hall" }, BudgetId { "desk" } };

    static GrantId grantOf(Incarnation holder, std::uint32_t number) { return GrantId { holder, number }; }
    static RequestKey keyOf(std::uint64_t low) { return RequestKey { 7, low }; }

    /** Applies one batch as the next record. `effects` then holds the effects of this batch only. */
    void apply(const Batch& batch)
    {
        effects.clear();
        ASSERT_TRUE(fold.apply(fold.nextOffset(), batch, effects)) << fold.lastReason();
        EXPECT_EQ(fold.inconsistency(), "");
    }

    /** Applies a record with one item: the author's next sequence and `entry`. */
    void take(Incarnation origin, Entry entry)
    {
        apply(Batch { rulesVersion, { Item { origin, ++sequences[origin], std::move(entry) } } });
    }

    /** Opens the account and tops the budget up with `bought` tokens, as operators. */
    void open(std::int64_t bought)
    {
        take(operators, OpenAccount { budget.account, "hash" });
        take(operators, TopUp { budget, Tokens { bought } });
    }

    /** Applies a draw of `wanted` tokens without a minimum. */
    void draw(Incarnation holder, std::uint32_t number, std::int64_t wanted, Incarnation witness = {})
    {
        take(holder, Draw { grantOf(holder, number), budget, Tokens { wanted }, {}, witness });
    }

    /** @return State of the budget. */
    BudgetView view() const { return fold.budget(budget).value_or(BudgetView {}); }

    GrantView grant(Incarnation holder, std::uint32_t number) const
    {
        return fold.grant(grantOf(holder, number)).value_or(GrantView {});
    }

    /** @return Number of effects of this kind in the last batch. */
    template <typename Kind> std::size_t count() const
    {
        std::size_t found = 0;
        for (const Effect& effect : effects)
            found += std::holds_alternative<Kind>(effect) ? 1 : 0;
        return found;
    }

    /** @return The last effect of this kind in the last batch; a default-constructed effect when there is none. */
    template <typename Kind> Kind last() const
    {
        Kind kind {};
        for (const Effect& effect : effects) {
            if (const Kind* const found = std::get_if<Kind>(&effect))
                kind = *found;
        }
        return kind;
    }

    Fold fold;
    std::vector<Effect> effects;
    std::map<Incarnation, std::uint64_t> sequences;
};

} // namespace swiftlift::ledger
