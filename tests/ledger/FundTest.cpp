#include <gtest/gtest.h>

#include "ledger/FoldFixture.h"
#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger {
namespace {

    const BudgetRef prepaid { AccountId { "club" }, BudgetId { "prepaid" } };
    constexpr Incarnation first { 11 };
    constexpr Incarnation second { 12 };

    class FundTest : public testing::Test {
    protected:
        void apply(Incarnation origin, Entry entry)
        {
            std::vector<Effect> effects;
            const Batch batch { rulesVersion, { Item { origin, ++sequences_[origin], std::move(entry) } } };
            ASSERT_TRUE(fold_.apply(fold_.nextOffset(), batch, effects)) << fold_.lastReason();
        }

        [[nodiscard]] Tokens bought() const { return fold_.budget(prepaid)->bought; }

        Fold fold_;
        std::map<Incarnation, std::uint64_t> sequences_;
    };

    TEST_F(FundTest, OpensTheBudgetWithItsTotal)
    {
        apply(first, Fund { prepaid, Tokens { 1000 } });
        EXPECT_EQ(bought(), Tokens { 1000 });
        EXPECT_TRUE(fold_.account(prepaid.account));
    }

    // Failure: an account can use twice what it paid for. Every router writes the total that it read from the
    // operators, one of them late and with an older total, and the totals are added up, or the last one written counts.
    TEST_F(FundTest, RepeatsAndOlderTotalsChangeNothing)
    {
        apply(first, Fund { prepaid, Tokens { 1000 } });
        apply(second, Fund { prepaid, Tokens { 1000 } });
        EXPECT_EQ(bought(), Tokens { 1000 });
        apply(second, Fund { prepaid, Tokens { 1500 } });
        apply(first, Fund { prepaid, Tokens { 1000 } });
        EXPECT_EQ(bought(), Tokens { 1500 });
        EXPECT_EQ(fold_.inconsistency(), "");
    }

    TEST_F(FundTest, SurvivesACheckpoint)
    {
        apply(first, Fund { prepaid, Tokens { 1000 } });
        apply(first, Draw { GrantId { first, 1 }, prepaid, Tokens { 400 }, Tokens { 1 }, {} });
        Fold other;
        ASSERT_TRUE(other.restore(fold_.checkpoint())) << other.lastReason();
        EXPECT_EQ(other.budget(prepaid)->available(), Tokens { 600 });
    }

    class PreallocationTest : public testing::Test {
    protected:
        PreallocationTest()
        {
            PolicySettings settings;
            settings.watermarks = Watermarks { 8, 10 };
            settings.preallocationPercent = 50;
            policy_ = makePolicy("grants", settings);
            situation_.bought = Tokens { 1'000'000 };
            situation_.available = Tokens { 1'000'000 };
            situation_.logReachable = true;
            situation_.preallocated = true;
            situation_.routers = 5;
        }

        std::unique_ptr<HoldingPolicy> policy_;
        BudgetSituation situation_;
    };

    // Failure: live routers refuse requests while a budget is untouched, because the log became unreachable before
    // there was any demand and nothing had been drawn.
    TEST_F(PreallocationTest, ShareIsDrawnBeforeThereIsDemand)
    {
        const auto decision = policy_->draw(situation_);
        ASSERT_TRUE(decision);
        EXPECT_EQ(decision->wanted, Tokens { 100'000 });
        situation_.drawn = Tokens { 100'000 };
        situation_.free = Tokens { 100'000 };
        EXPECT_FALSE(policy_->draw(situation_));
        EXPECT_EQ(policy_->surplus(situation_), Tokens {});
    }

    // Failure: a third of each budget is lost after a power failure of all routers, because they keep their
    // preallocation after demand is known, and what a failed router held counts as spent.
    TEST_F(PreallocationTest, IsReturnedOnceDemandIsKnown)
    {
        situation_.preallocated = false;
        situation_.drawn = Tokens { 100'000 };
        situation_.free = Tokens { 100'000 };
        situation_.demand = 2'000;
        situation_.largest = Tokens { 5'000 };
        EXPECT_EQ(policy_->surplus(situation_), Tokens { 80'000 });
    }

    // Failure: only 527,778 of 20,210,114 tokens are held when traffic begins, instead of half of them. 81 routers
    // start together and draw their preallocation; the first ones know of only 7 others and draw eleven times their
    // share, so the last draws are short, and all routers return what they hold as if requests were waiting for tokens.
    TEST_F(PreallocationTest, IsKeptWhenAnotherPreallocationWasShort)
    {
        situation_.drawn = Tokens { 150'000 };
        situation_.free = Tokens { 150'000 };
        situation_.othersShortfall = Tokens { 1'000'000 };
        EXPECT_EQ(policy_->surplus(situation_), Tokens { 50'000 });
    }

    // Failure: a router of a fleet that was killed before anything was billed takes its part of the whole budget again,
    // so that the third fleet finds nothing.
    TEST_F(PreallocationTest, CountsFromWhatEarlierHoldersLeft)
    {
        situation_.heldAtStart = Tokens { 600'000 };
        situation_.available = Tokens { 400'000 };
        const auto decision = policy_->draw(situation_);
        ASSERT_TRUE(decision);
        EXPECT_EQ(decision->wanted, Tokens { 40'000 });
        situation_.drawn = Tokens { 40'000 };
        situation_.free = Tokens { 40'000 };
        situation_.available = Tokens { 200'000 };
        EXPECT_EQ(policy_->surplus(situation_), Tokens {}) << "routers of the same fleet that draw change nothing";
    }

    // Failure: a router that knew of few others when it drew keeps a multiple of its part of what is left.
    TEST_F(PreallocationTest, IsReturnedAboveThePartOfWhatEarlierHoldersLeft)
    {
        situation_.heldAtStart = Tokens { 600'000 };
        situation_.drawn = Tokens { 100'000 };
        situation_.free = Tokens { 100'000 };
        EXPECT_EQ(policy_->surplus(situation_), Tokens { 60'000 });
    }

    // Failure: more is preallocated than is left, where a holder's tokens were counted twice or a total went down.
    TEST_F(PreallocationTest, IsNothingOfABudgetThatEarlierHoldersHoldWhole)
    {
        situation_.heldAtStart = Tokens { 1'000'001 };
        situation_.available = Tokens {};
        EXPECT_FALSE(policy_->draw(situation_));
        EXPECT_EQ(policy_->surplus(situation_), Tokens {});
    }

    // Failure: one VM of 81, with an eighth of all requests, refuses requests from the first second of an outage that
    // begins 5 s after traffic does. Draws ahead of need were limited to a part of an equal share, a 160th of the
    // budget or one second of its demand, although the watermarks already bound them.
    TEST_F(PreallocationTest, ManySharersDoNotLimitABusyRouterWithWatermarks)
    {
        situation_.preallocated = false;
        situation_.sharers = 81;
        situation_.drawn = Tokens { 1 };
        situation_.demand = 20'000;
        situation_.largest = Tokens { 5'000 };
        ASSERT_TRUE(policy_->draw(situation_));
        EXPECT_EQ(policy_->draw(situation_)->wanted, Tokens { 200'000 });
        situation_.available = Tokens { 100'000 };
        EXPECT_EQ(policy_->draw(situation_)->wanted, Tokens { 50'000 });
    }

    TEST_F(PreallocationTest, ConfiguredWatermarksApply)
    {
        situation_.preallocated = false;
        situation_.drawn = Tokens { 1 };
        situation_.demand = 1'000;
        situation_.largest = Tokens { 100 };
        situation_.free = Tokens { 8'100 };
        EXPECT_FALSE(policy_->draw(situation_));
        situation_.free = Tokens { 7'900 };
        ASSERT_TRUE(policy_->draw(situation_));
        EXPECT_EQ(policy_->draw(situation_)->wanted, Tokens { 2'100 });
    }

} // namespace
} // namespace swiftlift::ledger
