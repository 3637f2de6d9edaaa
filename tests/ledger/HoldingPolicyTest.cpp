#include "swiftlift/ledger/HoldingPolicy.h"

#include <numeric>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::ledger {

namespace {

    constexpr std::int64_t perSecond = 10'000;

    /** Situation of a router that gets a third of the requests of a busy budget and can reach the log. */
    BudgetSituation busyRouter(std::int64_t available, std::int64_t free)
    {
        BudgetSituation situation;
        situation.demand = perSecond;
        situation.fleetRate = 3 * perSecond;
        situation.billedRate = perSecond;
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

TEST(HoldingPolicyTest, HoldsItsWatermarksWhileTheBudgetLasts)
{
    const auto grants = policy();
    const auto decision = grants->draw(busyRouter(9'000'000, 50'000));
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 10 * perSecond - 50'000 });
    EXPECT_FALSE(grants->draw(busyRouter(9'000'000, 9 * perSecond)));
}

// Failure: every refusal has `held` = `bought`, although a sixth of the budget was never billed. Each router holds ten
// seconds of its demand, which near the end of the budget is all of what is left, and all routers lose power at once.
TEST(HoldingPolicyTest, HoldsForAtMostHalfOfTheTimeThatABudgetLasts)
{
    const auto grants = policy();
    // 8 s of demand are unheld and 2 s are held here: the budget lasts 10 s, of which 5 s may be held.
    const auto decision = grants->draw(busyRouter(8 * 3 * perSecond, 2 * perSecond));
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 3 * perSecond });
    EXPECT_FALSE(grants->draw(busyRouter(5 * 3 * perSecond, 5 * perSecond)));
    EXPECT_GT(grants->surplus(busyRouter(1 * 3 * perSecond, 7 * perSecond)), Tokens { 2 * perSecond });
}

// Failure: in an outage of a large fleet 3,700 loans per second are lent and returned while requests are refused. 80
// routers hold 30,000 tokens each of an account whose requests all arrive at one router, have once observed a large
// request of the account, and lend at most half of what they hold, then half of the rest: less than most requests need.
TEST(HoldingPolicyTest, LendsEverythingBeyondItsOwnDemand)
{
    const auto grants = policy();
    BudgetSituation idleRouter = busyRouter(0, 30'000);
    idleRouter.demand = 0;
    idleRouter.largest = Tokens { 30'000 };
    EXPECT_EQ(grants->lendable(idleRouter), Tokens { 30'000 });
    idleRouter.logReachable = false;
    EXPECT_EQ(grants->lendable(idleRouter), Tokens { 30'000 });
}

// Failure: a router that has just started holds nothing and refuses requests in the next outage, because before the
// first bill is read the unknown fleet rate is treated as if the budget were used up.
TEST(HoldingPolicyTest, UnknownFleetRateLowersNoWatermark)
{
    const auto grants = policy();
    BudgetSituation situation = busyRouter(100'000, 0);
    situation.fleetRate = 0;
    const auto decision = grants->draw(situation);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 50'000 }) << "half of what is left";
}

// Failure: a live failure domain refuses requests for a minute, because the first router with requests drew a fifth of
// the budget for minutes of its demand, which was lost when the router's failure domain failed seconds later.
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

TEST(HoldingPolicyTest, WaitingRequestsAreDrawnForBeyondTheShare)
{
    const auto grants = policy();
    BudgetSituation situation = busyRouter(30'000, 0);
    situation.need = Tokens { 5'000 };
    situation.smallestNeed = Tokens { 5'000 };
    situation.waiting = Tokens { 25'000 };
    const auto decision = grants->draw(situation);
    ASSERT_TRUE(decision);
    EXPECT_EQ(decision->wanted, Tokens { 25'000 });
}

namespace {

    /** A fleet of equally busy routers that draw and return by the policy until nothing changes. */
    class HoldingFleet {
    public:
        HoldingFleet(std::uint32_t routers, std::int64_t left, double billedPerSecond, Tokens largest)
            : free_(routers)
            , available_(left)
        {
            situation_.demand = reservedPerBilled * billedPerSecond / routers;
            situation_.fleetRate = billedPerSecond;
            situation_.billedRate = billedPerSecond / routers;
            situation_.largest = largest;
            situation_.bought = Tokens { 100 * left };
            situation_.logReachable = true;
            situation_.routers = routers;
        }

        void settle()
        {
            constexpr int rounds = 40;
            for (int round = 0; round < rounds; ++round) {
                for (Tokens& free : free_) {
                    step(free);
                }
            }
        }

        [[nodiscard]] Tokens held() const { return std::accumulate(free_.begin(), free_.end(), Tokens {}); }

    private:
        static constexpr double reservedPerBilled = 3;

        void step(Tokens& free)
        {
            situation_.available = available_;
            situation_.free = free;
            situation_.remainder = free;
            situation_.largestFree = free;
            situation_.drawn = std::max(free, Tokens { 1 });
            const Tokens returned = policy_->surplus(situation_);
            if (returned > Tokens {}) {
                free -= returned;
                available_ += returned;
            } else if (const auto decision = policy_->draw(situation_); decision && available_ >= decision->least) {
                const Tokens drawn = std::min(decision->wanted, available_);
                free += drawn;
                available_ -= drawn;
            }
        }

        std::unique_ptr<HoldingPolicy> policy_ = policy();
        std::vector<Tokens> free_;
        Tokens available_;
        BudgetSituation situation_;
    };

} // namespace

// Failure: of 594 requests sent after all routers lost power, 147 are served. Requests reserve three times what they
// are billed, and the routers held three quarters and more of what the budgets had left.
TEST(HoldingPolicyTest, RoutersTogetherHoldAtMostHalfOfWhatABudgetHasLeft)
{
    for (const std::int64_t seconds : { 3, 6, 10 }) {
        HoldingFleet fleet(8, seconds * perSecond, perSecond, Tokens { 100 });
        fleet.settle();
        EXPECT_LE(fleet.held(), Tokens { seconds * perSecond / 2 }) << seconds << " s left";
        EXPECT_GE(fleet.held(), Tokens { seconds * perSecond * 3 / 10 }) << seconds << " s left";
    }
}

} // namespace swiftlift::ledger
