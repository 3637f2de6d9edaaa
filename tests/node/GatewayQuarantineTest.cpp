#include <string>

#include "node/GatewayFixture.h"
#include "swiftlift/base/RendezvousHash.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    class GatewayQuarantineTest : public GatewayTest {
    protected:
        const std::string path = "/order/poison";

        /** Sends the request this many times; each time its server crashes and restarts. */
        void crashServers(int crashes)
        {
            for (int number = 0; number < crashes; ++number) {
                const ProxyDispatch dispatch = dispatched(world.arrive(path));
                world.loseConnection(dispatch);
                world.run(seconds(2));
                world.putServer(dispatch.backend.value(), "app", "a", fleet::ServerState::Ready, ++lastStartedAt_);
                world.run(seconds(1));
            }
        }

        std::uint64_t lastStartedAt_ = 0;
    };

    // Guards against a request that crashes each server which runs it and is still sent to further servers.
    TEST_F(GatewayQuarantineTest, RefusesARequestThatCrashedThreeServers)
    {
        crashServers(3);
        const CallId call = world.arrive(path);
        expectRefused(call, 429, "quarantined");
        EXPECT_EQ(world.replyOf(call)->outcome, Outcome::NotRun);
        EXPECT_GT(world.replyOf(call)->retryAfter, minutes(50)) << "an earlier retry would be refused again";
        EXPECT_TRUE(world.dispatchOf(world.arrive("/order/other")));
        EXPECT_EQ(world.reports(), 3U);
    }

    // Guards against quarantine per VM, under which a request could crash three servers for each VM.
    TEST_F(GatewayQuarantineTest, ReportsOfOtherRoutersCount)
    {
        world.reportLost({ path, "/order/innocent" }, "p-1", Incarnation { 5 });
        world.reportLost({ path }, "p-2", Incarnation { 6 });
        EXPECT_TRUE(world.dispatchOf(world.arrive(path)));
        world.reportLost({ path }, "p-3", Incarnation { 7 });
        expectRefused(world.arrive(path), 429, "quarantined");
        EXPECT_TRUE(world.dispatchOf(world.arrive("/order/innocent")));
    }

    // Guards against a part of prompts that each router which starts holds back again although it was answered since:
    // the router that held it back first has ended, and its verdict stayed in the log.
    TEST_F(GatewayQuarantineTest, VerdictLeavesTheLogOnceThePartIsAnswered)
    {
        world.sharedPart = 7;
        const quarantine::PromptPart part { stableHash("model"), world.sharedPart };
        const quarantine::ReportId verdict { Incarnation { 5 }, 2 };
        world.report({ { Incarnation { 5 }, 1 }, {}, quarantine::BackendInstance { BackendId("m-9"), 0 }, { part } });
        const ProxyDispatch running = dispatched(world.arrive("/stream/a", 12, 10));
        world.report({ verdict, {}, std::nullopt, { part }, true });
        expectRefused(world.arrive("/stream/b", 12, 10), 429, "quarantined");
        EXPECT_TRUE(world.hasReport(verdict));
        world.end(running, ProxyAttemptEnd::Completed);
        EXPECT_TRUE(world.dispatchOf(world.arrive("/stream/c", 12, 10)));
        world.run(seconds(5));
        EXPECT_FALSE(world.hasReport(verdict));
    }

    // Guards against crash reports that other routers don't get while the log is unreachable.
    TEST_F(GatewayQuarantineTest, ReportsFromPeersCountAndAreWrittenToTheLog)
    {
        for (std::uint64_t number = 1; number <= 3; ++number) {
            const quarantine::Report report { { Incarnation { 5 }, number }, { GatewayWorld::fingerprintOf(path) },
                quarantine::BackendInstance { BackendId("x" + std::to_string(number)), 0 } };
            world.handle(PeerReceived { Incarnation { 5 }, PeerAddress { "127.0.0.1:7500" },
                Records { StreamName { "crash-reports" }, Offset {}, { quarantine::encode(report) } } });
        }
        expectRefused(world.arrive(path), 429, "quarantined");
        world.run(seconds(20));
        EXPECT_EQ(world.reports(), 3U) << "the reporting router has not written its reports itself";
    }

    // Guards against a request that is sent although it crashed three servers elsewhere while it waited for tokens.
    TEST_F(GatewayQuarantineTest, RefusesARequestQuarantinedWhileItWaits)
    {
        const std::string stream = "/stream/poison";
        GatewayWorld smallBudget(2'000);
        smallBudget.becomeReady();
        const CallId waiting = smallBudget.arrive(stream, 1'200, 100);
        ASSERT_FALSE(smallBudget.dispatchOf(waiting) || smallBudget.replyOf(waiting))
            << "the request needs more than the preallocated tokens, so it waits for a draw";
        for (const char* server : { "m-1", "m-2", "m-3" }) {
            smallBudget.reportLost({ stream }, server, Incarnation { 5 });
        }
        smallBudget.run(seconds(1));
        ASSERT_TRUE(smallBudget.replyOf(waiting));
        EXPECT_EQ(smallBudget.replyOf(waiting)->reason, "quarantined");
    }

    // Guards against harmless requests that are quarantined because of reset connections.
    TEST_F(GatewayQuarantineTest, LostConnectionsOfServersThatStillAnswerDoNotCount)
    {
        for (int round = 0; round < 4; ++round) {
            world.loseConnection(dispatched(world.arrive(path)));
            world.run(milliseconds(40));
            for (const char* next : { "/order/a", "/order/b", "/order/c" }) {
                world.end(dispatched(world.arrive(next)), ProxyAttemptEnd::Completed);
            }
            world.run(seconds(1));
        }
        EXPECT_TRUE(world.dispatchOf(world.arrive(path)));
    }

    // Guards against retries of a single request at further servers after the limit is reached.
    TEST_F(GatewayQuarantineTest, RetriesEndAtTheLimit)
    {
        const std::string repeatable = "/plain/poison";
        world.reportLost({ repeatable }, "x-1", Incarnation { 5 });
        world.reportLost({ repeatable }, "x-2", Incarnation { 5 });
        const CallId call = world.arrive(repeatable);
        world.loseConnection(dispatched(call));
        EXPECT_FALSE(world.dispatchOf(call));
        expectRefused(call, 502, "backend_lost");
    }

    // Guards against a quarantined request that reserves tokens which other requests could use.
    TEST_F(GatewayQuarantineTest, QuarantinedRequestReservesNoTokens)
    {
        const std::string stream = "/stream/poison";
        for (const char* server : { "m-1", "m-2", "m-3" }) {
            world.reportLost({ stream }, server, Incarnation { 5 });
        }
        for (int number = 0; number < 20; ++number) {
            expectRefused(world.arrive(stream, 200'000, 70), 429, "quarantined");
        }
        EXPECT_TRUE(world.dispatchOf(world.arrive("/stream/other", 200'000, 70)));
        EXPECT_EQ(world.billed(), Tokens {});
    }

    // Guards against the quarantine of a frequent request after crashes with another cause.
    TEST_F(GatewayQuarantineTest, RequestThatIsAnsweredIsNotQuarantined)
    {
        crashServers(2);
        world.end(dispatched(world.arrive(path)), ProxyAttemptEnd::Completed);
        crashServers(2);
        EXPECT_TRUE(world.dispatchOf(world.arrive(path)));
    }

} // namespace
} // namespace swiftlift::node::testing
