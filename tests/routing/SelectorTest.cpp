#include "swiftlift/routing/Selector.h"

#include <algorithm>
#include <map>
#include <memory>

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class SelectorTest : public TableTest {
    protected:
        /** How often each was chosen; nothing is dispatched. */
        std::map<BackendId, int> tally(Selector& selector, const SelectRequest& wanted, int times)
        {
            std::map<BackendId, int> chosen;
            for (int i = 0; i < times; ++i) {
                if (const auto choice = selector.choose(wanted, table_, now_)) {
                    ++chosen[choice->backend];
                }
            }
            return chosen;
        }

        /** Eight routers with the same reports, in which engine 1 of 20 looks idle, send `each` requests before the
         * next. */
        std::map<BackendId, int> herd(const std::string& name, int each)
        {
            std::map<BackendId, int> total;
            for (std::uint64_t router = 1; router <= 8; ++router) {
                table_ = BackendTable {};
                add(20);
                for (int number = 2; number <= 20; ++number) {
                    table_.onLoad(engine(number), report(3), now_);
                }
                const auto own = selector(name, router);
                for (int i = 0; i < each; ++i) {
                    const auto choice = own->choose(request(), table_, now_);
                    ++total[choice.value().backend];
                    table_.onDispatched(choice->backend, AttemptId { ++lastAttempt_ }, { 0, Tokens { 100 }, {} }, now_);
                }
            }
            return total;
        }

        static int mostOf(const std::map<BackendId, int>& chosen)
        {
            const auto most = std::max_element(chosen.begin(), chosen.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; });
            return most->second;
        }
    };

    // Symptom: `no_backend`, "4 broken", while the service answers eight requests in nine.
    // Events: each of its servers answers three requests in a row with a failure.
    // Cause: their breakers were all open, and nothing was sent to servers that were known to answer.
    TEST_F(SelectorTest, ServersThatAnswerAreUsedWhenAllAreHeldBack)
    {
        add(3, 1);
        const auto any = selector("rendezvous");
        for (int number = 1; number <= 4; ++number) {
            for (int time = 0; time < 3; ++time) {
                finish(number, dispatch(number), EndKind::Failed);
            }
            EXPECT_EQ(view(number).state, BackendState::Broken);
        }
        SelectRequest once = request();
        once.idempotent = false;
        EXPECT_TRUE(any->choose(once, table_, now_));
        EXPECT_TRUE(any->choose(request(), table_, now_));
        // One that is not reached at all is no resort.
        for (int number = 1; number <= 4; ++number) {
            finish(number, dispatch(number), EndKind::Broken);
        }
        EXPECT_FALSE(any->choose(request(), table_, now_));
    }

    TEST_F(SelectorTest, MakesEachByName)
    {
        for (const std::string name : { "affinity", "random", "round_robin", "least_load" }) {
            ASSERT_NE(selector(name), nullptr);
            EXPECT_EQ(selector(name)->name(), name);
        }
        EXPECT_EQ(selector("best"), nullptr);
    }

    TEST_F(SelectorTest, NoneSendsAnythingToALeavingBackend)
    {
        add(3);
        table_.onLeaving(engine(2), now_);
        for (const std::string name : { "affinity", "random", "round_robin", "least_load" }) {
            const auto chosen = tally(*selector(name), request(), 200);
            EXPECT_FALSE(chosen.contains(engine(2))) << name;
            EXPECT_FALSE(chosen.empty());
        }
    }

    // Symptom: backend servers take turns in being overloaded.
    // Events: eight routers see the same reports, half a second old; each takes the least loaded one.
    // Cause: all take the same one, until the next report.
    TEST_F(SelectorTest, EightRoutersWithTheSameLateReportsSpread)
    {
        const auto few = herd("affinity", 3);
        EXPECT_LE(mostOf(few), 6) << "of 24 requests for 20 engines";
        const auto many = herd("affinity", 25);
        EXPECT_EQ(many.size(), 20U);
        EXPECT_LE(mostOf(many), 30) << "of 200, engine 1, which looks idle, included";
        EXPECT_EQ(mostOf(herd("least_load", 3)), 24) << "what the sample is for";
    }

    TEST_F(SelectorTest, PrefersTheHolderOfThePrefixUnlessItIsLoaded)
    {
        add(10);
        table_.onCacheEvents(engine(4), { { 0, CacheChange::Stored, 7 } }, now_);
        const auto affinity = selector();
        EXPECT_EQ(tally(*affinity, request(7), 100)[engine(4)], 100);
        EXPECT_LT(tally(*affinity, request(8), 100)[engine(4)], 50);
        table_.onLoad(engine(4), report(8, 1), now_);
        EXPECT_EQ(tally(*affinity, request(7), 100)[engine(4)], 0) << "waiting costs more than the prefix saves";
    }

    TEST_F(SelectorTest, StaysInTheDomainUntilItIsOverloadedOrGone)
    {
        add(3, 3);
        const auto affinity = selector();
        const auto inDomain = [&](const std::map<BackendId, int>& chosen) {
            return chosen.contains(engine(1)) || chosen.contains(engine(2)) || chosen.contains(engine(3));
        };
        auto chosen = tally(*affinity, request(), 100);
        EXPECT_EQ(chosen[engine(1)] + chosen[engine(2)] + chosen[engine(3)], 100);
        for (int number = 1; number <= 3; ++number) {
            table_.onLoad(engine(number), report(2, 1), now_);
        }
        EXPECT_FALSE(inDomain(tally(*affinity, request(), 100)));
        for (int number = 1; number <= 3; ++number) {
            table_.onLeaving(engine(number), now_);
        }
        const auto choice = affinity->choose(request(), table_, now_);
        ASSERT_TRUE(choice);
        EXPECT_NE(choice->reason.find("own has none"), std::string::npos);
    }

    TEST_F(SelectorTest, LetsRequestsWaitHereWhenAllAreFull)
    {
        add(2);
        table_.onLoad(engine(1), report(8, 2), now_);
        table_.onLoad(engine(2), report(8, 3), now_);
        const auto affinity = selector();
        EXPECT_FALSE(affinity->choose(request(), table_, now_));
        EXPECT_EQ(affinity->noChoice(), NoChoice::AllFull);
        EXPECT_GT(affinity->retryAfter(), 0s);
        SelectRequest urgent = request();
        urgent.priority = Priority::Interactive;
        EXPECT_TRUE(affinity->choose(urgent, table_, now_));
    }

    TEST_F(SelectorTest, SaysWhyThereIsNone)
    {
        add(4);
        table_.onLeaving(engine(1), now_);
        fail(2);
        LoadReport other = report(0);
        other.models = { "tags-1b" };
        table_.onLoad(engine(3), other, now_);
        SelectRequest wanted = request();
        wanted.excluded = { engine(4) };
        const auto affinity = selector();
        EXPECT_FALSE(affinity->choose(wanted, table_, now_));
        EXPECT_EQ(affinity->noChoice(), NoChoice::NoBackend);
        EXPECT_EQ(affinity->lastReason(), "1 broken, 1 leaving, 1 tried already, 1 without the model");
        EXPECT_GE(affinity->retryAfter(), 700ms) << "when the breaker lets a probe through";
        EXPECT_LE(affinity->retryAfter(), 1300ms);
        wanted.service = ServiceName { "nobody" };
        EXPECT_FALSE(affinity->choose(wanted, table_, now_));
    }

    // A probe risks its request: never one that may not be run again, nor an urgent one while others are usable.
    TEST_F(SelectorTest, ProbesAreFewAndNeverRiskWhatMayNotBeRepeated)
    {
        add(2);
        fail(1);
        now_ += 2s;
        const auto affinity = selector();
        const auto chosen = tally(*affinity, request(), 400);
        EXPECT_GT(chosen.at(engine(1)), 10);
        EXPECT_LT(chosen.at(engine(1)), 90);
        SelectRequest urgent = request();
        urgent.priority = Priority::Interactive;
        EXPECT_FALSE(tally(*affinity, urgent, 200).contains(engine(1)));
        SelectRequest once = request();
        once.idempotent = false;
        EXPECT_FALSE(tally(*affinity, once, 200).contains(engine(1)));
        once.excluded = { engine(2) };
        EXPECT_FALSE(affinity->choose(once, table_, now_)) << "not even when it is the last one";
    }

    TEST_F(SelectorTest, SimpleOnesDoAsTheySay)
    {
        add(3);
        table_.onLoad(engine(1), report(4), now_);
        table_.onLoad(engine(2), report(1), now_);
        table_.onLoad(engine(3), report(4), now_);
        EXPECT_EQ(tally(*selector("least_load"), request(), 10)[engine(2)], 10);
        const auto inTurn = tally(*selector("round_robin"), request(), 9);
        EXPECT_TRUE(std::all_of(inTurn.begin(), inTurn.end(), [](const auto& entry) { return entry.second == 3; }));
        EXPECT_EQ(tally(*selector("random"), request(), 100).size(), 3U);
    }

} // namespace
} // namespace swiftlift::routing::test
