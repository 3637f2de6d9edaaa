#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class GatewayAnnouncementTest : public GatewayTest {
    protected:
        /** The server states this in the head of an answer. */
        void announce(const std::string& server, const routing::Announcement& announcement)
        {
            world.handle(BackendAnnounced { BackendId(server), announcement });
        }

        /** The server turns the request away and asks for rest. */
        void turnAway(const ProxyDispatch& dispatch, Duration rest)
        {
            const routing::Announcement announcement { {}, false, rest };
            announce(dispatch.backend.value(), announcement);
            world.end(dispatch, ProxyAttemptEnd::Refused, 503, 0, announcement);
        }

        /** Sends requests for this long, one every 50 ms, all of which are answered.
         * @return How many were dispatched to the server. */
        [[nodiscard]] int dispatchesTo(const std::string& server, Duration time)
        {
            int count = 0;
            for (Duration passed {}; passed < time; passed += milliseconds(50)) {
                if (const auto dispatch = world.dispatchOf(world.arrive("/plain/x"))) {
                    count += dispatch->backend.value() == server ? 1 : 0;
                    world.end(*dispatch, ProxyAttemptEnd::Completed);
                }
                world.run(milliseconds(40));
            }
            return count;
        }
    };

    // Guards against requests that go on to a server that asked for none, without a line that says what was known.
    TEST_F(GatewayAnnouncementTest, ChangedAnnouncementsAndRestsAreLogged)
    {
        announce("p-1", { 2.5, false, {} });
        announce("p-1", { 2.5, false, {} });
        EXPECT_EQ(world.lines("announcement").size(), 1U);
        announce("p-1", { 2.5, true, {} });
        EXPECT_EQ(world.lines("announcement").size(), 2U);
        announce("p-1", { 2.5, true, seconds(3) });
        EXPECT_EQ(world.lines("announcement").size(), 2U);
        EXPECT_EQ(world.lines("rest").size(), 1U);
    }

    // Guards against a server that names the rate it can bear and still gets each request whose first choice it is.
    TEST_F(GatewayAnnouncementTest, LimitedServerGetsNoMoreThanItsLimit)
    {
        world.registerVms({ "127.0.0.1:7400" });
        announce("p-1", { 2.0, false, {} });
        int count = 0;
        for (int number = 0; number < 60; ++number) {
            const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
            count += dispatch.backend == BackendId { "p-1" } ? 1 : 0;
            world.end(dispatch, ProxyAttemptEnd::Completed);
            world.run(milliseconds(60));
        }
        EXPECT_LE(count, 2 * 4) << "2 a second, for 3.6 s";
        EXPECT_GE(count, 2);
    }

    // Guards against a router that was told by no server itself and sends as if there were no limit.
    TEST_F(GatewayAnnouncementTest, LimitIsLearntFromAPeerAndToldToPeers)
    {
        world.registerVms({ "127.0.0.1:7400", "127.0.0.1:7500" });
        Heartbeat heartbeat;
        heartbeat.domain = FailureDomain { "a" };
        heartbeat.announcements = { { BackendId("p-1"), 0, 1.0, milliseconds(300), std::nullopt } };
        world.handle(PeerReceived { Incarnation { 78 }, PeerAddress { "127.0.0.1:7500" }, heartbeat });
        ASSERT_EQ(world.lines("announcement").size(), 1U);
        world.run(seconds(1));
        ASSERT_TRUE(world.lastHeartbeat());
        ASSERT_EQ(world.lastHeartbeat()->announcements.size(), 1U);
        EXPECT_EQ(world.lastHeartbeat()->announcements.front().limit, 1.0);
        EXPECT_GT(world.lastHeartbeat()->announcements.front().limitAge, milliseconds(300));
    }

    // Guards against a limit that ends because of an answer that is older than the limit, or never ends.
    TEST_F(GatewayAnnouncementTest, LimitEndsWithAnAnswerToALaterRequestThatDoesNotNameIt)
    {
        world.registerVms({ "127.0.0.1:7400" });
        ProxyDispatch before = dispatched(world.arrive("/plain/x"));
        world.run(milliseconds(100));
        const std::string server = before.backend.value();
        announce(server, { 1.0, false, {} });
        world.end(before, ProxyAttemptEnd::Completed, 200, 0, routing::Announcement {});
        EXPECT_EQ(world.lines("announcement").size(), 1U) << "the answer may have been made before the limit";
        world.run(milliseconds(100));
        ProxyDispatch after = before;
        for (int number = 0; number < 40 && world.lines("announcement").size() < 2; ++number) {
            after = dispatched(world.arrive("/plain/x"));
            world.run(milliseconds(100));
            world.end(after, ProxyAttemptEnd::Completed, 200, 0, routing::Announcement {});
        }
        EXPECT_EQ(world.lines("announcement").size(), 2U);
        EXPECT_EQ(after.backend.value(), server);
    }

    // Guards against a server that turned a request away, asked for rest, and gets the next ones within its rest.
    TEST_F(GatewayAnnouncementTest, RestingServerGetsNothingUntilItsRestIsOver)
    {
        const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
        const std::string server = dispatch.backend.value();
        turnAway(dispatch, seconds(3));
        EXPECT_EQ(dispatchesTo(server, milliseconds(2'900)), 0);
        world.run(milliseconds(200));
        EXPECT_GT(dispatchesTo(server, seconds(1)), 0);
    }

    // Guards against a rest that is forgotten with the server's entry, as entries lapse in an outage and return.
    TEST_F(GatewayAnnouncementTest, RestOutlivesTheServersEntry)
    {
        const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
        const std::string server = dispatch.backend.value();
        turnAway(dispatch, seconds(3));
        world.dropServer(server);
        world.run(milliseconds(100));
        world.putServer(server, "app", "a");
        EXPECT_EQ(dispatchesTo(server, milliseconds(2'500)), 0);
    }

    // Guards against requests that a resting server gets because it is the last resort, or as a breaker's probe.
    TEST_F(GatewayAnnouncementTest, ServiceWhoseServersAllRestRefusesAtOnceWithTheEndOfTheFirstRest)
    {
        for (int number = 0; number < 3; ++number) {
            turnAway(dispatched(world.arrive("/order/x")), seconds(3));
        }
        const CallId call = world.arrive("/plain/x");
        expectRefused(call, 503, "no_backend");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        ASSERT_TRUE(world.replyOf(call)->retryAfter);
        EXPECT_GT(*world.replyOf(call)->retryAfter, seconds(2));
        EXPECT_LE(*world.replyOf(call)->retryAfter, seconds(3));
    }

    // Guards against a caller that is told to return in a second by servers that all asked for three.
    TEST_F(GatewayAnnouncementTest, RequestThatAllServersTurnAwayIsToldTheEndOfTheFirstRest)
    {
        const CallId call = world.arrive("/plain/x");
        for (int number = 0; number < 3; ++number) {
            turnAway(dispatched(call), seconds(3));
        }
        expectRefused(call, 503, "no_backend");
        ASSERT_TRUE(world.replyOf(call)->retryAfter);
        EXPECT_EQ(*world.replyOf(call)->retryAfter, seconds(3));
    }

    // Guards against a server that says in its answers that it leaves and gets new requests until its entry says so
    // too.
    TEST_F(GatewayAnnouncementTest, LeavingServerGetsNoNewRequests)
    {
        announce("p-1", { {}, true, {} });
        EXPECT_EQ(dispatchesTo("p-1", seconds(2)), 0);
        EXPECT_EQ(world.lines("announcement").size(), 1U);
    }

    // Guards against a retry that goes to a server that said meanwhile that it leaves.
    TEST_F(GatewayAnnouncementTest, RetryAvoidsLeavingServers)
    {
        const CallId call = world.arrive("/plain/x");
        const ProxyDispatch first = dispatched(call);
        std::string last;
        for (const char* id : { "p-1", "p-2", "p-3" }) {
            if (first.backend.value() != id && last.empty()) {
                last = id;
            } else if (first.backend.value() != id) {
                announce(id, { {}, true, {} });
            }
        }
        world.end(first, ProxyAttemptEnd::Unreachable, 0);
        EXPECT_EQ(dispatched(call).backend.value(), last);
    }

    TEST_F(GatewayAnnouncementTest, RequestThatRunsAtALeavingServerGoesOnToItsEnd)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch dispatch = dispatched(call);
        world.progress(dispatch, 1);
        announce(dispatch.backend.value(), { {}, true, {} });
        world.run(seconds(1));
        EXPECT_FALSE(world.cancelled(dispatch));
    }

    // Guards against a leaving server that gets requests again because its entry lapsed, or was listed once more.
    TEST_F(GatewayAnnouncementTest, LeavingOutlivesTheServersEntryAndEndsWithTheNextInstance)
    {
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 5);
        announce("p-1", { {}, true, {} });
        world.dropServer("p-1");
        world.run(milliseconds(100));
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 5);
        EXPECT_EQ(dispatchesTo("p-1", seconds(1)), 0);
        world.putServer("p-1", "app", "a", fleet::ServerState::Ready, 6);
        EXPECT_GT(dispatchesTo("p-1", seconds(1)), 0);
    }

    // Guards against a router that no leaving server told, or that has restarted since, and sends requests to it.
    TEST_F(GatewayAnnouncementTest, LeavingIsLearntFromAPeerAndToldToPeers)
    {
        Heartbeat heartbeat;
        heartbeat.domain = FailureDomain { "a" };
        heartbeat.announcements = { { BackendId("p-1"), 0, std::nullopt, std::nullopt, milliseconds(3) } };
        world.handle(PeerReceived { Incarnation { 78 }, PeerAddress { "127.0.0.1:7500" }, heartbeat });
        EXPECT_EQ(dispatchesTo("p-1", seconds(1)), 0);
        ASSERT_TRUE(world.lastHeartbeat());
        ASSERT_EQ(world.lastHeartbeat()->announcements.size(), 1U);
        EXPECT_TRUE(world.lastHeartbeat()->announcements.front().leavingAge);
    }

} // namespace
} // namespace swiftlift::node::testing
