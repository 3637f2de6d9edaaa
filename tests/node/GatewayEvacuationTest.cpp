#include <string>

#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration warmupTime = seconds(3);

    class GatewayEvacuationTest : public GatewayTest {
    protected:
        void SetUp() override
        {
            GatewayTest::SetUp();
            world.putServer("p-4", "app", "b");
        }

        /** Sends ten requests. @return How many were dispatched to servers of domain `a`. */
        [[nodiscard]] int dispatchesToDomainA()
        {
            int count = 0;
            for (int number = 0; number < 10; ++number) {
                const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
                count += dispatch.backend == BackendId { "p-4" } ? 0 : 1;
                world.end(dispatch, ProxyAttemptEnd::Completed);
            }
            return count;
        }
    };

    TEST_F(GatewayEvacuationTest, EvacuatedDomainGetsNoRequestsUntilItIsTakenBack)
    {
        EXPECT_EQ(dispatchesToDomainA(), 10);
        world.evacuate("a");
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.endEvacuation("a");
        EXPECT_EQ(dispatchesToDomainA(), 10);
        ASSERT_EQ(world.lines("evacuation").size(), 2U);
    }

    // Guards against a retry or a resumed stream that goes to an evacuated server after its first attempt elsewhere.
    TEST_F(GatewayEvacuationTest, RetryAvoidsAnEvacuatedDomain)
    {
        world.evacuate("b");
        const CallId call = world.arrive("/plain/x");
        const ProxyDispatch first = dispatched(call);
        world.evacuate("a");
        world.endEvacuation("b");
        world.end(first, ProxyAttemptEnd::Unreachable, 0);
        EXPECT_EQ(dispatched(call).backend, BackendId { "p-4" });
    }

    TEST_F(GatewayEvacuationTest, RunningRequestGoesOnToItsEnd)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch dispatch = dispatched(call);
        world.progress(dispatch, 1);
        world.evacuate("a");
        world.run(seconds(1));
        EXPECT_FALSE(world.cancelled(dispatch));
        world.end(dispatch, ProxyAttemptEnd::Completed, 200, 4);
        EXPECT_FALSE(world.replyOf(call)) << "the answer was forwarded";
    }

    // Guards against callers that wait until their deadline for a service whose servers are all evacuated.
    TEST_F(GatewayEvacuationTest, ServiceWithoutOtherServersRefusesAtOnceAsNotRun)
    {
        world.evacuate("a");
        const CallId call = world.arrive("/stream/x", 100, 70);
        expectRefused(call, 503, "no_backend");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        EXPECT_TRUE(world.replyOf(call)->retryAfter);
        EXPECT_NE(world.replyOf(call)->detail.find("evacuated"), std::string::npos);
    }

    TEST_F(GatewayEvacuationTest, TwoDomainsMayBeEvacuatedAtOnce)
    {
        world.evacuate("a");
        world.evacuate("b");
        expectRefused(world.arrive("/plain/x"), 503, "no_backend");
        world.endEvacuation("a");
        EXPECT_EQ(dispatchesToDomainA(), 10);
    }

    // Guards against an evacuation that is lost with a record that can't be read, or with a list that has it.
    TEST_F(GatewayEvacuationTest, UnreadableRecordKeepsThePreviousState)
    {
        world.evacuate("a");
        world.evacuate("a", "?");
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.relistOperatorRecords({ { "evacuate a", "?" } }, world.lastKeyedOffset() + 1);
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.evacuate("b", "?");
        EXPECT_EQ(dispatchesToDomainA(), 0) << "domain b was not evacuated before";
        EXPECT_EQ(world.lines("unreadable").size(), 2U);
    }

    TEST_F(GatewayEvacuationTest, ListWithoutTheRecordEndsTheEvacuationUnlessItIsOlder)
    {
        const std::uint64_t before = world.lastKeyedOffset();
        world.evacuate("a");
        world.relistOperatorRecords({}, before);
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.relistOperatorRecords({}, world.lastKeyedOffset() + 1);
        EXPECT_EQ(dispatchesToDomainA(), 10);
    }

    // Guards against requests to an evacuated domain by a router that can't reach the log: a peer passes it on.
    TEST_F(GatewayEvacuationTest, PeerPassesOnAnEvacuationAndNeverAnOlderState)
    {
        const PeerAddress address { "127.0.0.1:7500" };
        const Incarnation peer { 78 };
        const StreamName stream { "evacuations" };
        world.logReachable = false;
        world.handle(PeerReceived { peer, address, Records { stream, Offset { 1'000 }, { "a" } } });
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.handle(PeerReceived { peer, address, Records { stream, Offset { 999 }, {} } });
        EXPECT_EQ(dispatchesToDomainA(), 0);
        world.handle(PeerReceived { peer, address, Records { stream, Offset { 1'001 }, {} } });
        EXPECT_EQ(dispatchesToDomainA(), 10);
    }

    TEST_F(GatewayEvacuationTest, UnknownDomainChangesNothing)
    {
        world.evacuate("nowhere");
        EXPECT_EQ(dispatchesToDomainA(), 10);
    }

    class GatewayColdTest : public GatewayTest {
    protected:
        void SetUp() override
        {
            GatewayTest::SetUp();
            world.publish([](fleet::FleetConfig& config) {
                config.services[1].warmup = fleet::WarmupFacts { warmupTime, 4 };
            });
            world.registerVms({ "127.0.0.1:7400" });
        }

        /** Sends requests that keep running. @return How many went to the server. */
        [[nodiscard]] int dispatchesTo(const std::string& server, int requests)
        {
            int count = 0;
            for (int number = 0; number < requests; ++number) {
                const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
                count += dispatch.backend == BackendId { server } ? 1 : 0;
            }
            return count;
        }
    };

    // Guards against a server that crashes just after its start because it is empty and gets most requests.
    TEST_F(GatewayColdTest, NewServerGetsItsShareUntilItIsWarm)
    {
        world.putServer("p-9", "app", "a");
        EXPECT_EQ(dispatchesTo("p-9", 12), 2) << "one of two owners, with half of 4 requests a second";
        world.run(milliseconds(1'020));
        EXPECT_EQ(dispatchesTo("p-9", 4), 2);
        world.run(warmupTime);
        EXPECT_GT(dispatchesTo("p-9", 14), 2);
    }

    TEST_F(GatewayColdTest, ServerThatTurnsColdCountsTheRequestsSentBefore)
    {
        EXPECT_EQ(dispatchesTo("p-1", 6), 2);
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 0, warmupTime);
        EXPECT_EQ(dispatchesTo("p-1", 6), 0);
        EXPECT_FALSE(world.lines("backend").empty());
    }

    // Guards against a storm at the end of an evacuation, when the servers of the domain are cold.
    TEST_F(GatewayColdTest, ServersAreColdAtTheEndOfTheirEvacuation)
    {
        world.putServer("p-4", "app", "b");
        world.run(warmupTime + seconds(1));
        world.evacuate("a");
        world.endEvacuation("a");
        EXPECT_LE(dispatchesTo("p-1", 10), 2);
    }

    TEST_F(GatewayColdTest, ServiceWithColdServersOnlyRefusesWithTheTimeOfTheNextFreeOne)
    {
        for (const char* id : { "p-1", "p-2", "p-3" }) {
            world.putServer(id, "app", "a", fleet::ServerState::Ready, 0, warmupTime);
        }
        (void)dispatchesTo("p-1", 6);
        const CallId call = world.arrive("/plain/x");
        expectRefused(call, 503, "no_backend");
        ASSERT_TRUE(world.replyOf(call)->retryAfter);
        EXPECT_LE(*world.replyOf(call)->retryAfter, seconds(1));
        EXPECT_NE(world.replyOf(call)->detail.find("cold"), std::string::npos);
    }

} // namespace
} // namespace swiftlift::node::testing
