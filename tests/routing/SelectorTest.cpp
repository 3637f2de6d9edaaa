#include "swiftlift/routing/Selector.h"

#include <algorithm>
#include <map>
#include <memory>

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class SelectorTest : public TableTest {
    protected:
        /** @return How often each backend server was selected for the request; nothing is dispatched. */
        std::map<BackendId, int> countChoices(Selector& selector, const SelectRequest& selectRequest, int times)
        {
            std::map<BackendId, int> chosen;
            for (int i = 0; i < times; ++i) {
                if (const auto choice = selector.choose(selectRequest, table_, now_)) {
                    ++chosen[choice->backend];
                }
            }
            return chosen;
        }

        /**
         * @brief Lets eight routers select between two load reports, the first of which shows only engine 1 of 20 idle.
         * @param name The selector.
         * @param each Number of requests that each router sends.
         * @return Requests sent to each backend server.
         */
        std::map<BackendId, int> sendFromEightRouters(const std::string& name, int each)
        {
            std::map<BackendId, int> total;
            for (std::uint64_t router = 1; router <= 8; ++router) {
                table_ = BackendTable {};
                setEngines(20);
                for (int number = 2; number <= 20; ++number) {
                    table_.onLoad(engine(number), report(3), now_);
                }
                const auto routerSelector = selector(name, router);
                for (int i = 0; i < each; ++i) {
                    const auto choice = routerSelector->choose(request(), table_, now_);
                    ++total[choice.value().backend];
                    table_.onDispatched(choice->backend, AttemptId { ++lastAttempt_ }, { 0, Tokens { 100 }, {} }, now_);
                }
            }
            return total;
        }

        /** @return The highest count of any backend server. */
        static int highestCount(const std::map<BackendId, int>& chosen)
        {
            const auto most = std::max_element(chosen.begin(), chosen.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; });
            return most->second;
        }
    };

    // Guards against refusals with `no_backend`, "4 broken", while the service answers eight requests in nine: each of
    // its servers has answered three requests in a row with a failure, so all breakers are open.
    TEST_F(SelectorTest, SelectsServersThatAnswerWhenAllBreakersAreOpen)
    {
        setEngines(3, 1);
        const auto rendezvous = selector("rendezvous");
        for (int number = 1; number <= 4; ++number) {
            for (int time = 0; time < 3; ++time) {
                finish(number, dispatch(number), EndKind::Failed);
            }
            EXPECT_EQ(view(number).state, BackendState::Broken);
        }
        SelectRequest nonIdempotent = request();
        nonIdempotent.idempotent = false;
        EXPECT_TRUE(rendezvous->choose(nonIdempotent, table_, now_));
        EXPECT_TRUE(rendezvous->choose(request(), table_, now_));
        // Backend servers whose last attempt broke are not used as a last resort.
        for (int number = 1; number <= 4; ++number) {
            finish(number, dispatch(number), EndKind::Broken);
        }
        EXPECT_FALSE(rendezvous->choose(request(), table_, now_));
    }

    TEST_F(SelectorTest, MakeSelectorReturnsTheNamedSelector)
    {
        for (const std::string name : { "affinity", "random", "round_robin", "least_load" }) {
            ASSERT_NE(selector(name), nullptr);
            EXPECT_EQ(selector(name)->name(), name);
        }
        EXPECT_EQ(selector("best"), nullptr);
    }

    TEST_F(SelectorTest, NoSelectorSelectsALeavingBackend)
    {
        setEngines(3);
        table_.onLeaving(engine(2), now_);
        for (const std::string name : { "affinity", "random", "round_robin", "least_load" }) {
            const auto chosen = countChoices(*selector(name), request(), 200);
            EXPECT_FALSE(chosen.contains(engine(2))) << name;
            EXPECT_FALSE(chosen.empty());
        }
    }

    // Guards against one backend server after the other being overloaded: eight routers with the same load reports,
    // half a second old, would all select the least loaded server until the next report.
    TEST_F(SelectorTest, EightRoutersWithTheSameOldReportsSpreadTheirRequests)
    {
        const auto few = sendFromEightRouters("affinity", 3);
        EXPECT_LE(highestCount(few), 6) << "24 requests for 20 engines";
        const auto many = sendFromEightRouters("affinity", 25);
        EXPECT_EQ(many.size(), 20U);
        EXPECT_LE(highestCount(many), 30) << "200 requests for 20 engines, of which engine 1 is reported idle";
        EXPECT_EQ(highestCount(sendFromEightRouters("least_load", 3)), 24)
            << "without a random sample, all requests go to engine 1";
    }

    TEST_F(SelectorTest, AffinityPrefersCachedPrefixUnlessTheServerIsLoaded)
    {
        setEngines(10);
        table_.onCacheEvents(engine(4), { { 0, CacheChange::Stored, 7 } }, now_);
        const auto affinity = selector();
        EXPECT_EQ(countChoices(*affinity, request(7), 100)[engine(4)], 100);
        EXPECT_LT(countChoices(*affinity, request(8), 100)[engine(4)], 50);
        table_.onLoad(engine(4), report(8, 1), now_);
        EXPECT_EQ(countChoices(*affinity, request(7), 100)[engine(4)], 0)
            << "the wait at the server costs more than the cached prefix saves";
    }

    TEST_F(SelectorTest, StaysInOwnDomainUntilItIsOverloadedOrLeaving)
    {
        setEngines(3, 3);
        const auto affinity = selector();
        const auto inDomain = [&](const std::map<BackendId, int>& chosen) {
            return chosen.contains(engine(1)) || chosen.contains(engine(2)) || chosen.contains(engine(3));
        };
        auto chosen = countChoices(*affinity, request(), 100);
        EXPECT_EQ(chosen[engine(1)] + chosen[engine(2)] + chosen[engine(3)], 100);
        for (int number = 1; number <= 3; ++number) {
            table_.onLoad(engine(number), report(2, 1), now_);
        }
        EXPECT_FALSE(inDomain(countChoices(*affinity, request(), 100)));
        for (int number = 1; number <= 3; ++number) {
            table_.onLeaving(engine(number), now_);
        }
        const auto choice = affinity->choose(request(), table_, now_);
        ASSERT_TRUE(choice);
        EXPECT_NE(choice->reason.find("own has none"), std::string::npos);
    }

    TEST_F(SelectorTest, ReportsAllFullWhenTooManyRequestsWaitEverywhere)
    {
        setEngines(2);
        table_.onLoad(engine(1), report(8, 2), now_);
        table_.onLoad(engine(2), report(8, 3), now_);
        const auto affinity = selector();
        EXPECT_FALSE(affinity->choose(request(), table_, now_));
        EXPECT_EQ(affinity->noChoice(), NoChoice::AllFull);
        EXPECT_GT(affinity->retryAfter(), 0s);
        SelectRequest interactive = request();
        interactive.priority = Priority::Interactive;
        EXPECT_TRUE(affinity->choose(interactive, table_, now_));
    }

    TEST_F(SelectorTest, ExplainsWhyNoBackendIsSelected)
    {
        setEngines(4);
        table_.onLeaving(engine(1), now_);
        breakAttempts(2);
        LoadReport otherModel = report(0);
        otherModel.models = { "tags-1b" };
        table_.onLoad(engine(3), otherModel, now_);
        SelectRequest selectRequest = request();
        selectRequest.excluded = { engine(4) };
        const auto affinity = selector();
        EXPECT_FALSE(affinity->choose(selectRequest, table_, now_));
        EXPECT_EQ(affinity->noChoice(), NoChoice::NoBackend);
        EXPECT_EQ(affinity->lastReason(), "1 broken, 1 leaving, 1 tried already, 1 without the model");
        EXPECT_GE(affinity->retryAfter(), 700ms) << "the breaker allows a probe after its open time of 1 s with jitter";
        EXPECT_LE(affinity->retryAfter(), 1300ms);
        selectRequest.service = ServiceName { "nobody" };
        EXPECT_FALSE(affinity->choose(selectRequest, table_, now_));
    }

    // The request of a probe may get lost, so non-idempotent requests are never probes, and interactive ones only if no
    // other backend server is usable.
    TEST_F(SelectorTest, ProbesAreFewAndNeverNonIdempotentRequests)
    {
        setEngines(2);
        breakAttempts(1);
        now_ += 2s;
        const auto affinity = selector();
        const auto chosen = countChoices(*affinity, request(), 400);
        EXPECT_GT(chosen.at(engine(1)), 10);
        EXPECT_LT(chosen.at(engine(1)), 90);
        SelectRequest interactive = request();
        interactive.priority = Priority::Interactive;
        EXPECT_FALSE(countChoices(*affinity, interactive, 200).contains(engine(1)));
        SelectRequest nonIdempotent = request();
        nonIdempotent.idempotent = false;
        EXPECT_FALSE(countChoices(*affinity, nonIdempotent, 200).contains(engine(1)));
        nonIdempotent.excluded = { engine(2) };
        EXPECT_FALSE(affinity->choose(nonIdempotent, table_, now_))
            << "no probe even if no other backend server is left";
    }

    TEST_F(SelectorTest, LeastLoadRoundRobinAndRandomSelectAsNamed)
    {
        setEngines(3);
        table_.onLoad(engine(1), report(4), now_);
        table_.onLoad(engine(2), report(1), now_);
        table_.onLoad(engine(3), report(4), now_);
        EXPECT_EQ(countChoices(*selector("least_load"), request(), 10)[engine(2)], 10);
        const auto roundRobin = countChoices(*selector("round_robin"), request(), 9);
        EXPECT_TRUE(
            std::all_of(roundRobin.begin(), roundRobin.end(), [](const auto& entry) { return entry.second == 3; }));
        EXPECT_EQ(countChoices(*selector("random"), request(), 100).size(), 3U);
    }

} // namespace
} // namespace swiftlift::routing::test
