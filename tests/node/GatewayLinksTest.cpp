#include <optional>
#include <set>

#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class GatewayLinksTest : public GatewayTest {
    protected:
        void SetUp() override
        {
            GatewayTest::SetUp();
            world.endProbes(true);
            hearPeers();
        }

        void hearPeers()
        {
            world.hearRelay(91);
            world.hearRelay(92);
        }

        /** Time passes with heartbeats of both peers, and the probes end like this. */
        void runWithPeers(Duration time, bool connected)
        {
            for (Duration passed {}; passed < time; passed += milliseconds(100)) {
                hearPeers();
                world.endProbes(connected);
                world.run(milliseconds(100));
            }
        }

        /** All connections to servers fail from now on, as the first request shows. */
        void loseLinks()
        {
            world.run(milliseconds(200));
            const CallId call = world.arrive("/plain/x");
            world.end(dispatched(call), ProxyAttemptEnd::Unreachable, 0);
            if (const auto retry = world.dispatchOf(call); retry && !retry->relay) {
                world.end(*retry, ProxyAttemptEnd::Unreachable, 0);
            }
            for (int round = 0; round < 3; ++round) {
                world.endProbes(false);
                world.run(milliseconds(100));
            }
            ASSERT_EQ(world.lines("links").size(), 1U);
        }
    };

    // Guards against a VM without links that refuses what its peers could serve.
    TEST_F(GatewayLinksTest, RequestsGoThroughAPeerWhileLinksAreLost)
    {
        loseLinks();
        const CallId call = world.arrive("/order/x");
        const ProxyDispatch dispatch = dispatched(call);
        ASSERT_TRUE(dispatch.relay);
        world.end(dispatch, ProxyAttemptEnd::Completed);
        EXPECT_EQ(world.lines("answered").size(), 1U);
    }

    // Guards against a VM that goes on asking its peers after its links work again.
    TEST_F(GatewayLinksTest, AProbeThatConnectsEndsTheRelaying)
    {
        loseLinks();
        runWithPeers(seconds(3), false);
        EXPECT_TRUE(dispatched(world.arrive("/plain/x")).relay) << "failed probes keep the links lost";
        runWithPeers(milliseconds(500), true);
        EXPECT_FALSE(dispatched(world.arrive("/plain/x")).relay);
        EXPECT_EQ(world.lines("links").size(), 2U);
    }

    // Guards against one crashed server that sends a VM's requests through its peers.
    TEST_F(GatewayLinksTest, OneUnreachableServerLeavesLinksInUse)
    {
        const CallId call = world.arrive("/plain/x");
        world.end(dispatched(call), ProxyAttemptEnd::Unreachable, 0);
        world.endProbes(true);
        EXPECT_FALSE(dispatched(world.arrive("/plain/x")).relay);
        EXPECT_TRUE(world.lines("links").empty());
    }

    // Guards against a request that waits for its deadline at a VM that can't reach a server in any way.
    TEST_F(GatewayLinksTest, WithoutPeersRequestsAreRefusedAtOnceAndHaveNotRun)
    {
        world.hearRelay(91, { "a" });
        world.hearRelay(92, { "a" });
        loseLinks();
        const CallId call = world.arrive("/order/x");
        expectRefused(call, 503, "no_link");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        EXPECT_TRUE(world.replyOf(call)->retryAfter);
    }

    // Guards against a crashed server that is asked for again and again through peers.
    TEST_F(GatewayLinksTest, ServerThatThePeerCannotReachIsNotAskedForAgain)
    {
        loseLinks();
        const CallId call = world.arrive("/order/x");
        std::set<BackendId> tried;
        while (const auto dispatch = world.dispatchOf(call)) {
            ASSERT_TRUE(dispatch->relay);
            EXPECT_TRUE(tried.insert(dispatch->backend).second) << dispatch->backend.value();
            world.end(*dispatch, ProxyAttemptEnd::Unreachable, 0);
        }
        EXPECT_EQ(tried.size(), 3U);
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
    }

    // Guards against sound servers behind breakers because a peer that has lost its links, too, could not reach them.
    TEST_F(GatewayLinksTest, PeerThatReachesNoServerOpensNoBreakers)
    {
        loseLinks();
        const PeerAddress peerWithoutLinks = GatewayWorld::addressOfRelay(91);
        const std::size_t changes = world.lines("backend").size();
        for (int number = 0; number < 30; ++number) {
            const CallId call = world.arrive("/order/x");
            auto dispatch = world.dispatchOf(call);
            while (dispatch && dispatch->relay && dispatch->relay->peer == peerWithoutLinks) {
                world.end(*dispatch, ProxyAttemptEnd::Unreachable, 0);
                dispatch = world.dispatchOf(call);
            }
            ASSERT_TRUE(dispatch) << "request " << number;
            world.end(*dispatch, ProxyAttemptEnd::Completed);
            runWithPeers(milliseconds(100), false);
        }
        EXPECT_EQ(world.lines("backend").size(), changes);
    }

    // Guards against a crashed server that stays in use because only peers can tell that it can't be reached.
    TEST_F(GatewayLinksTest, ServerThatPeersCannotReachAmongOthersIsLeftOut)
    {
        loseLinks();
        std::optional<BackendId> crashed;
        int sentToCrashed = 0;
        for (int number = 0; number < 30; ++number) {
            const CallId call = world.arrive("/order/x");
            ProxyDispatch dispatch = dispatched(call);
            crashed = crashed.value_or(dispatch.backend);
            if (dispatch.backend == *crashed) {
                ++sentToCrashed;
                world.end(dispatch, ProxyAttemptEnd::Unreachable, 0);
                dispatch = dispatched(call);
            }
            world.end(dispatch, ProxyAttemptEnd::Completed);
            runWithPeers(milliseconds(100), false);
        }
        EXPECT_LT(sentToCrashed, 10);
    }

    // Guards against a request that is lost because one peer turned it away.
    TEST_F(GatewayLinksTest, RequestThatAPeerTurnsAwayGoesThroughAnother)
    {
        loseLinks();
        const CallId call = world.arrive("/order/x");
        const ProxyDispatch first = dispatched(call);
        ASSERT_TRUE(first.relay);
        world.failRelay(first);
        const ProxyDispatch second = dispatched(call);
        ASSERT_TRUE(second.relay);
        EXPECT_NE(second.relay->peer, first.relay->peer);
        world.failRelay(second);
        expectRefused(call, 503, "no_link");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
    }

    // Guards against peers that get no requests at all for a while because one server asked them for rest.
    TEST_F(GatewayLinksTest, PeersThatDeclineOneServerStayInUse)
    {
        loseLinks();
        const CallId call = world.arrive("/order/x");
        const ProxyDispatch first = dispatched(call);
        world.failRelay(first, ConnectFailure::Declined);
        const ProxyDispatch second = dispatched(call);
        EXPECT_NE(second.backend, first.backend);
        EXPECT_EQ(second.relay, first.relay);
        world.end(second, ProxyAttemptEnd::Completed);
        EXPECT_EQ(world.lines("answered").size(), 1U);
    }

    // Guards against a non-idempotent request that runs twice because the connection through a peer broke.
    TEST_F(GatewayLinksTest, NonIdempotentRequestWhoseRelayBrokeIsNotSentAgain)
    {
        loseLinks();
        const CallId call = world.arrive("/order/x");
        world.loseConnection(dispatched(call));
        EXPECT_FALSE(world.dispatchOf(call));
        expectRefused(call, 502, "backend_lost");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::Unknown);
    }

    // Guards against a relayed request that runs on more servers than its route allows.
    TEST_F(GatewayLinksTest, RouteLimitOfServersCountsRelayedAttempts)
    {
        loseLinks();
        const CallId call = world.arrive("/plain/x");
        for (int attempt = 0; attempt < 2; ++attempt) {
            const ProxyDispatch dispatch = dispatched(call);
            EXPECT_TRUE(dispatch.relay);
            world.loseConnection(dispatch);
        }
        EXPECT_FALSE(world.dispatchOf(call)) << "two servers may have run it";
    }

    // Guards against a relayed request that is billed by no router, or by two.
    TEST_F(GatewayLinksTest, RelayedStreamIsBilledOnceByTheRouterThatTookIt)
    {
        loseLinks();
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch dispatch = dispatched(call);
        ASSERT_TRUE(dispatch.relay);
        world.progress(dispatch, 1);
        world.end(dispatch, ProxyAttemptEnd::Completed, 200, 5);
        runWithPeers(seconds(2), false);
        EXPECT_EQ(world.billed(), Tokens { 100 + 5 * 7 });
    }

    // Guards against servers that stay behind breakers after a partition although nothing was wrong with them.
    TEST_F(GatewayLinksTest, FailuresOfLostLinksOpenNoBreakers)
    {
        for (int number = 0; number < 4; ++number) {
            world.loseConnection(dispatched(world.arrive("/order/x")));
        }
        loseLinks();
        runWithPeers(milliseconds(300), true);
        std::set<BackendId> used;
        for (int number = 0; number < 6; ++number) {
            used.insert(dispatched(world.arrive("/order/x")).backend);
        }
        EXPECT_EQ(used.size(), 3U);
    }

    // Guards against retries that are refused because connections that reached no server used up the fleet's bound.
    TEST_F(GatewayLinksTest, AttemptsThatReachedNoServerDrawNothingOnTheRetryBound)
    {
        for (int number = 0; number < 200; ++number) {
            const CallId call = world.arrive("/plain/x");
            const ProxyDispatch first = dispatched(call);
            world.failRelay(first);
            const auto second = world.dispatchOf(call);
            ASSERT_TRUE(second) << "request " << number;
            world.end(*second, ProxyAttemptEnd::Completed);
            runWithPeers(milliseconds(100), true);
        }
    }

    // Guards against two hops: a VM that has lost its own links takes no connections of others.
    TEST_F(GatewayLinksTest, RouterWithoutLinksRelaysNothing)
    {
        world.handle(RelayRequested { RelayId { 1 }, BackendId { "p-1" } });
        ASSERT_TRUE(world.relayAnswerOf(RelayId { 1 }));
        EXPECT_TRUE(world.relayAnswerOf(RelayId { 1 })->address);
        loseLinks();
        world.handle(RelayRequested { RelayId { 2 }, BackendId { "p-1" } });
        ASSERT_TRUE(world.relayAnswerOf(RelayId { 2 }));
        EXPECT_FALSE(world.relayAnswerOf(RelayId { 2 })->address);
        EXPECT_FALSE(world.relayAnswerOf(RelayId { 2 })->concernsServer) << "another peer may reach it";
        world.run(seconds(1));
        ASSERT_TRUE(world.lastHeartbeat());
        EXPECT_EQ(world.lastHeartbeat()->unreachableDomains, std::vector<FailureDomain> { FailureDomain { "a" } });
    }

    // Guards against a VM without callers that has lost its links, and goes on taking connections of others.
    TEST_F(GatewayLinksTest, FailedRelayedConnectionsShowThatLinksAreLost)
    {
        world.run(milliseconds(200));
        std::uint64_t number = 0;
        for (const char* server : { "p-1", "p-2" }) {
            const RelayId relay { ++number };
            world.handle(RelayRequested { relay, BackendId { server } });
            world.handle(RelayEnded { relay, 0, "Connection refused", ConnectFailure::Server });
        }
        world.endProbes(false);
        ASSERT_EQ(world.lines("links").size(), 1U);
        world.handle(RelayRequested { RelayId { 3 }, BackendId { "p-3" } });
        EXPECT_FALSE(world.relayAnswerOf(RelayId { 3 })->address);
    }

    // Guards against a leaving server that gets new requests through a VM that knows of it.
    TEST_F(GatewayLinksTest, NothingIsRelayedToServersThatGetNoRequests)
    {
        world.handle(BackendAnnounced { BackendId { "p-1" }, { {}, true, {} } });
        world.handle(BackendAnnounced { BackendId { "p-2" }, { {}, false, seconds(3) } });
        world.evacuate("b");
        world.putServer("p-9", "app", "b");
        std::uint64_t number = 0;
        for (const char* server : { "p-1", "p-2", "p-9", "unknown" }) {
            const RelayId relay { ++number };
            world.handle(RelayRequested { relay, BackendId { server } });
            ASSERT_TRUE(world.relayAnswerOf(relay));
            EXPECT_FALSE(world.relayAnswerOf(relay)->address) << server;
            EXPECT_TRUE(world.relayAnswerOf(relay)->concernsServer) << server;
        }
    }

    // Guards against a peer that sinks under the connections of VMs that have lost their links.
    TEST_F(GatewayLinksTest, RelayedConnectionsAreBoundedAndEndBeforeAPlannedStop)
    {
        constexpr std::uint64_t most = 64;
        for (std::uint64_t number = 1; number <= most; ++number) {
            world.handle(RelayRequested { RelayId { number }, BackendId { "p-1" } });
        }
        world.handle(RelayRequested { RelayId { most + 1 }, BackendId { "p-1" } });
        EXPECT_FALSE(world.relayAnswerOf(RelayId { most + 1 })->address);
        world.handle(StopRequested {});
        world.run(seconds(4));
        EXPECT_FALSE(world.stopReady()) << "relayed connections are in progress";
        for (std::uint64_t number = 1; number <= most; ++number) {
            world.handle(RelayEnded { RelayId { number }, 10, "complete" });
        }
        world.run(seconds(4));
        EXPECT_TRUE(world.stopReady());
    }

    // Guards against a partition that hangs connections, which requests on kept connections show only after seconds.
    TEST_F(GatewayLinksTest, SilenceOfAllServersIsProbedAtOnce)
    {
        world.run(seconds(2));
        world.endProbes(true);
        world.handle(BackendsSilent {});
        EXPECT_GT(world.endProbes(false), 0U);
    }

} // namespace
} // namespace swiftlift::node::testing
