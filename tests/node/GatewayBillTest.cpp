#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Guards against an engine that continues a stream after its caller has disconnected, and against a delivered part
    // that is not billed.
    TEST_F(GatewayTest, AbandonedRequestIsCancelledAndBilledForForwardedEvents)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch dispatch = dispatched(call);
        world.handle(ProxyRequestAbandoned { call, 2 });
        EXPECT_TRUE(world.cancelled(dispatch));
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens { 100 + 2 * 7 });
    }

    // Guards against accounts refused with 402 although their callers received less than was bought: the prompt was
    // billed once a backend server had the request, also if the caller disconnected before the first event. During one
    // flood of requests, 540 `caller_gone` lines with 0 events had billed 8% of all budgets.
    TEST_F(GatewayTest, CallerThatDisconnectsBeforeTheFirstEventIsNotBilled)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch dispatch = dispatched(call);
        world.handle(ProxyRequestAbandoned { call, 0 });
        EXPECT_TRUE(world.cancelled(dispatch));
        // The backend server's event did not reach the caller.
        world.progress(dispatch, 1);
        world.end(dispatch, ProxyAttemptEnd::Completed, 200, 1);
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens {});
        ASSERT_EQ(world.lines("caller_gone").size(), 1U);
    }

    TEST_F(GatewayTest, RequestThatFailsOrBreaksOffBeforeTheFirstEventIsNotBilled)
    {
        const CallId failed = world.arrive("/stream/x", 100, 70);
        world.end(dispatched(failed), ProxyAttemptEnd::Failed, 500);
        EXPECT_TRUE(world.failureForwarded(failed));
        const CallId broken = world.arrive("/stream/x", 100, 70);
        world.end(dispatched(broken), ProxyAttemptEnd::Broken);
        expectRefused(broken, 502, "backend_lost");
        const CallId late = world.arrive("/stream/x", 100, 70, milliseconds(300));
        (void)dispatched(late);
        world.run(seconds(2));
        expectRefused(late, 504, "deadline_passed");
        EXPECT_EQ(world.billed(), Tokens {});
    }

    // Guards against a bill for the whole reservation when a stream is cut at its deadline: the core knows of one
    // event, while the transport forwards 3 events until it cuts the stream. The bill has to wait for the transport's
    // count.
    TEST_F(GatewayTest, CutStreamIsBilledForForwardedEvents)
    {
        world.reportsEventCounts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        world.progress(dispatched(call), 1);
        world.run(seconds(1));
        ASSERT_TRUE(world.replyOf(call));
        EXPECT_EQ(world.billed(), Tokens {}) << "nothing is billed before the count is known";
        world.handle(ProxyRequestAbandoned { call, 3 });
        world.run(seconds(1));
        EXPECT_EQ(world.billed(), Tokens { 100 + 3 * 7 });
        world.run(seconds(3));
        EXPECT_EQ(world.billed(), Tokens { 100 + 3 * 7 }) << "billed once";
        ASSERT_EQ(world.lines("cut_billed").size(), 1U);
    }

    // The stream ends while the core's decision to cancel it is on its way to the transport.
    TEST_F(GatewayTest, StreamThatEndsWhileItIsCancelledIsBilledForForwardedEvents)
    {
        world.reportsEventCounts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        const ProxyDispatch dispatch = dispatched(call);
        world.progress(dispatch, 1);
        world.run(seconds(1));
        world.end(dispatch, ProxyAttemptEnd::Completed, 200, 5);
        world.handle(ProxyRequestAbandoned { call, 5 });
        world.run(seconds(3));
        EXPECT_EQ(world.billed(), Tokens { 100 + 5 * 7 });
    }

    TEST_F(GatewayTest, CutStreamWithoutAnEventCountIsBilledItsMaximumCost)
    {
        world.reportsEventCounts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        world.progress(dispatched(call), 1);
        world.run(seconds(4));
        EXPECT_EQ(world.billed(), Tokens { 100 + 700 });
    }

    TEST_F(GatewayTest, PromptOfAResumedStreamIsBilledOnce)
    {
        const CallId call = world.arrive("/resumable/x", 100, 70);
        world.end(dispatched(call), ProxyAttemptEnd::Broken);
        const ProxyDispatch second = dispatched(call);
        world.progress(second, 1);
        world.end(second, ProxyAttemptEnd::Broken, 200, 3);
        // The route's maximum number of servers may have run the request.
        EXPECT_FALSE(world.dispatchOf(call));
        world.run(seconds(2));
        EXPECT_LE(world.billed(), Tokens { 100 + 70 });
        EXPECT_GE(world.billed(), Tokens { 100 + 3 * 7 });
    }

    // Guards against an answer billed without its tokens: an engine answers with one body, which has no events to
    // count, so only the prompt was billed and the account received more tokens than it bought.
    TEST_F(GatewayTest, WholeAnswerOfAnEngineIsBilledItsMaximumCost)
    {
        world.publish([](fleet::FleetConfig& config) { config.routes[0].targets = { { ServiceName("model"), 1 } }; });
        const CallId call = world.arrive("/plain/x", 100, 70);
        world.end(dispatched(call), ProxyAttemptEnd::Completed);
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens { 100 + 70 });
    }

} // namespace
} // namespace swiftlift::node::testing
