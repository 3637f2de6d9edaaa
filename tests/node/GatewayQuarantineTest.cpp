#include <string>

#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    class GatewayQuarantineTest : public GatewayTest {
    protected:
        const std::string path = "/order/poison";

        /** Has the request run and its server crash, so often. */
        void crash(int servers)
        {
            for (int number = 0; number < servers; ++number) {
                const ProxyDispatch order = ordered(world.arrive(path));
                world.lose(order);
                world.run(seconds(2));
                world.putServer(order.backend.value(), "app", "a", fleet::ServerState::Ready, ++lives_);
                world.run(seconds(1));
            }
        }

        std::uint64_t lives_ = 0;
    };

    // Guards against: a request that crashes whoever runs it goes on being sent.
    TEST_F(GatewayQuarantineTest, RefusesARequestUnderWhichThreeServersEnded)
    {
        crash(3);
        const CallId call = world.arrive(path);
        expectRefused(call, 429, "quarantined");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        EXPECT_GT(world.replyOf(call)->retryAfter, minutes(50)) << "asking again soon is in vain";
        EXPECT_TRUE(world.orderOf(world.arrive("/order/other")));
        EXPECT_EQ(world.reports(), 3U);
    }

    // Guards against: each VM lets the request end three servers of its own.
    TEST_F(GatewayQuarantineTest, ReportsOfOtherRoutersCountAsWell)
    {
        world.reportLost({ path, "/order/innocent" }, "p-1", Incarnation { 5 });
        world.reportLost({ path }, "p-2", Incarnation { 6 });
        EXPECT_TRUE(world.orderOf(world.arrive(path)));
        world.reportLost({ path }, "p-3", Incarnation { 7 });
        expectRefused(world.arrive(path), 429, "quarantined");
        EXPECT_TRUE(world.orderOf(world.arrive("/order/innocent")));
    }

    // Guards against: an outage of the log hides what ends servers meanwhile.
    TEST_F(GatewayQuarantineTest, ReportsFromPeersCountAndAreWrittenForThem)
    {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            const quarantine::Report report { { Incarnation { 5 }, number }, { GatewayWorld::fingerprintOf(path) },
                quarantine::BackendInstance { BackendId("x" + std::to_string(number)), 0 } };
            world.tell(PeerReceived { Incarnation { 5 }, PeerAddress { "127.0.0.1:7500" },
                Records { StreamName { "crash-reports" }, Offset {}, { quarantine::encode(report) } } });
        }
        expectRefused(world.arrive(path), 429, "quarantined");
        world.run(seconds(20));
        EXPECT_EQ(world.reports(), 3U) << "the router that told them has not written them";
    }

    // Guards against: a request that waits for money is sent though three servers have ended under it meanwhile.
    TEST_F(GatewayQuarantineTest, RefusesWhatWaitedMeanwhile)
    {
        const std::string stream = "/stream/poison";
        GatewayWorld poor(2'000);
        poor.settle();
        const CallId waiting = poor.arrive(stream, 1'200, 100);
        ASSERT_FALSE(poor.orderOf(waiting) || poor.replyOf(waiting)) << "more than the stock: it is drawn for";
        for (const char* server : { "m-1", "m-2", "m-3" }) {
            poor.reportLost({ stream }, server, Incarnation { 5 });
        }
        poor.run(seconds(1));
        ASSERT_TRUE(poor.replyOf(waiting));
        EXPECT_EQ(poor.replyOf(waiting)->reason, "quarantined");
    }

    // Guards against: reset connections get harmless requests refused.
    TEST_F(GatewayQuarantineTest, LostConnectionsOfServersThatGoOnAnsweringCountNothing)
    {
        for (int round = 0; round < 4; ++round) {
            world.lose(ordered(world.arrive(path)));
            world.run(milliseconds(40));
            for (const char* next : { "/order/a", "/order/b", "/order/c" }) {
                world.end(ordered(world.arrive(next)), ProxyAttemptEnd::Completed);
            }
            world.run(seconds(1));
        }
        EXPECT_TRUE(world.orderOf(world.arrive(path)));
    }

    // Guards against: one attempt of a caller goes on to further servers once the limit is reached.
    TEST_F(GatewayQuarantineTest, OwnRepeatsEndAtTheLimit)
    {
        const std::string repeatable = "/plain/poison";
        world.reportLost({ repeatable }, "x-1", Incarnation { 5 });
        world.reportLost({ repeatable }, "x-2", Incarnation { 5 });
        const CallId call = world.arrive(repeatable);
        world.lose(ordered(call));
        EXPECT_FALSE(world.orderOf(call));
        expectRefused(call, 502, "backend_lost");
    }

    // Guards against: a confined request holds money that others could spend.
    TEST_F(GatewayQuarantineTest, ConfinedRequestCostsNothing)
    {
        const std::string stream = "/stream/poison";
        for (const char* server : { "m-1", "m-2", "m-3" }) {
            world.reportLost({ stream }, server, Incarnation { 5 });
        }
        for (int number = 0; number < 20; ++number) {
            expectRefused(world.arrive(stream, 200'000, 70), 429, "quarantined");
        }
        EXPECT_TRUE(world.orderOf(world.arrive("/stream/other", 200'000, 70)));
        EXPECT_EQ(world.billed(), Tokens {});
    }

    // Guards against: what is asked for often is refused after an incident that had another cause.
    TEST_F(GatewayQuarantineTest, RequestThatIsAnsweredIsNotConfined)
    {
        crash(2);
        world.end(ordered(world.arrive(path)), ProxyAttemptEnd::Completed);
        crash(2);
        EXPECT_TRUE(world.orderOf(world.arrive(path)));
    }

} // namespace
} // namespace swiftlift::node::testing
