#include "swiftlift/ledger/HoldingPolicy.h"

#include <gtest/gtest.h>

namespace swiftlift::ledger {

namespace {

    constexpr std::int64_t perSecond = 10'000;

    /** A router that has a third of a busy budget's requests, with the log in reach. */
    BudgetSituation busy(std::int64_t available, std::int64_t free)
    {
        BudgetSituation situation;
        situation.demand = perSecond;
        situation.fleetRate = 3 * perSecond;
        situation.largest = Tokens { 5'000 };
        situation.bought = Tokens { 10'000'000 };
        situation.available = Tokens { available };
        situation.free = Tokens { free };
        situation.largestFree = situation.free;
        situation.drawn = situation.free;
        situation.logReachable = true;
        situation.routers = 3;
        return situation;
    }

    std::unique_ptr<HoldingPolicy> policy()
    {
        PolicySettings settings;
        settings.watermarks = Watermarks { 8, 10 };
        return makePolicy("grants", settings);
    }

} // namespace

TEST(HoldingPolicyTest, HoldsItsWatermarksWhileABudgetLasts)
{
    const auto grants = policy();
    const auto decision = grants->draw(busy(9'000'000, 50'000));
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 10 * perSecond - 50'000 });
    EXPECT_FALSE(grants->draw(busy(9'000'000, 9 * perSecond)));
}

// Symptom: every refusal names `held` = `bought`, though a sixth of the budget was never billed.
// Events: a budget comes to its end; each router holds ten seconds of its demand; all lose their power at once.
// Cause: ten seconds are little of a whole budget, and all of what is left at its end.
TEST(HoldingPolicyTest, HoldsAtMostHalfOfWhatABudgetStillLasts)
{
    const auto grants = policy();
    // 8 s unheld and 2 s held here: the budget lasts 10 s, of which 5 s may be held.
    const auto decision = grants->draw(busy(8 * 3 * perSecond, 2 * perSecond));
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 3 * perSecond });
    EXPECT_FALSE(grants->draw(busy(5 * 3 * perSecond, 5 * perSecond)));
    EXPECT_GT(grants->surplus(busy(1 * 3 * perSecond, 7 * perSecond)), Tokens { 2 * perSecond });
}

// Symptom: in an outage of a large fleet 3,700 loans a second go to and fro, and requests are refused beside them.
// Events: 80 routers hold 30,000 tokens each of an account whose callers all come to one; they have seen one large
// request of it.
// Cause: each lent half of that at most, and half of the rest the next time: less than most requests need.
TEST(HoldingPolicyTest, LendsAllThatItsOwnCallersDoNotNeed)
{
    const auto grants = policy();
    BudgetSituation idle = busy(0, 30'000);
    idle.demand = 0;
    idle.largest = Tokens { 30'000 };
    EXPECT_EQ(grants->lendable(idle), Tokens { 30'000 });
    idle.logReachable = false;
    EXPECT_EQ(grants->lendable(idle), Tokens { 30'000 });
}

// Symptom: a router that has just started holds nothing, and refuses in the next outage.
// Events: no bill has been read yet.
// Cause: an unknown rate was taken for a budget that is over.
TEST(HoldingPolicyTest, AnUnknownRateShrinksNothing)
{
    const auto grants = policy();
    BudgetSituation situation = busy(100'000, 0);
    situation.fleetRate = 0;
    const auto decision = grants->draw(situation);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 50'000 }) << "half of what is left, as ever";
}

// Callers of a living failure domain refused for a minute: the first router that was asked drew a fifth of the budget
// for minutes of its demand, and that was lost with its domain seconds later.
TEST(HoldingPolicyTest, FirstRequestsLeaveAFifthOfTheirShareOfABudget)
{
    PolicySettings settings;
    settings.weighting = Weighting::Refusals;
    const auto grants = makePolicy("grants", settings);
    BudgetSituation situation;
    situation.demand = 30;
    situation.largest = Tokens { 100 };
    situation.bought = Tokens { 36'000 };
    situation.available = situation.bought;
    situation.logReachable = true;
    situation.routers = 6;
    const auto decision = grants->draw(situation);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 36'000 / 6 * 4 / 5 + 100 });
    situation.fleetRate = 1800;
    situation.demand = 300;
    const auto busyDecision = grants->draw(situation);
    ASSERT_TRUE(busyDecision);
    EXPECT_EQ(busyDecision->wanted, Tokens { 36'000 / 6 * 4 / 5 + 100 });
}

TEST(HoldingPolicyTest, WhatWaitsIsDrawnWhateverIsLeft)
{
    const auto grants = policy();
    BudgetSituation situation = busy(30'000, 0);
    situation.need = Tokens { 5'000 };
    situation.smallestNeed = Tokens { 5'000 };
    situation.waiting = Tokens { 25'000 };
    const auto decision = grants->draw(situation);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 25'000 });
}

} // namespace swiftlift::ledger
