#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Symptom: an engine works on for a caller that has left.
    // Events: the caller's connection ends in the middle of a stream.
    // Cause: nobody told the engine; what was delivered was not billed either.
    TEST_F(GatewayTest, AbandonedRequestIsCancelledAndBilledForWhatWasDelivered)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch order = ordered(call);
        world.tell(ProxyRequestAbandoned { call, 2 });
        EXPECT_TRUE(world.cancelled(order));
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens { 100 + 2 * 7 });
    }

    // Symptom: accounts are refused with 402 though their callers were given less than was bought.
    // Events: callers leave, or are given up, before the first event of their answers.
    // Cause: the prompt was billed as soon as a backend server had the request, whether or not anything came of it. On
    // a day with a flood whose callers left early, 540 `caller_gone` lines with 0 events had billed 8% of all budgets.
    TEST_F(GatewayTest, CallerThatLeavesBeforeTheFirstEventPaysNothing)
    {
        const CallId call = world.arrive("/stream/x", 100, 70);
        const ProxyDispatch order = ordered(call);
        world.tell(ProxyRequestAbandoned { call, 0 });
        EXPECT_TRUE(world.cancelled(order));
        // An event that the backend server had made meanwhile reached nobody.
        world.progress(order, 1);
        world.end(order, ProxyAttemptEnd::Completed, 200, 1);
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens {});
        ASSERT_EQ(world.lines("caller_gone").size(), 1U);
    }

    TEST_F(GatewayTest, RequestThatFailsOrBreaksOffBeforeTheFirstEventCostsNothing)
    {
        const CallId failed = world.arrive("/stream/x", 100, 70);
        world.end(ordered(failed), ProxyAttemptEnd::Failed, 500);
        EXPECT_TRUE(world.failurePassedOn(failed));
        const CallId broken = world.arrive("/stream/x", 100, 70);
        world.end(ordered(broken), ProxyAttemptEnd::Broken);
        expectRefused(broken, 502, "backend_lost");
        const CallId late = world.arrive("/stream/x", 100, 70, milliseconds(300));
        (void)ordered(late);
        world.run(seconds(2));
        expectRefused(late, 504, "deadline_passed");
        EXPECT_EQ(world.billed(), Tokens {});
    }

    // Symptom: a caller whose stream broke off after one event pays for the longest answer there could have been.
    // Events: the stream is given up midway, at its deadline; the transport cuts it after 3 events.
    // Cause: how much the caller had got by then was not known where the bill was made, so all that was reserved
    // counted.
    TEST_F(GatewayTest, StreamThatIsCutIsBilledForWhatWasPassedOn)
    {
        world.reportsCuts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        world.progress(ordered(call), 1);
        world.run(seconds(1));
        ASSERT_TRUE(world.replyOf(call));
        EXPECT_EQ(world.billed(), Tokens {}) << "nothing is billed before the count is known";
        world.tell(ProxyRequestAbandoned { call, 3 });
        world.run(seconds(1));
        EXPECT_EQ(world.billed(), Tokens { 100 + 3 * 7 });
        world.run(seconds(3));
        EXPECT_EQ(world.billed(), Tokens { 100 + 3 * 7 }) << "billed once";
        ASSERT_EQ(world.lines("cut_billed").size(), 1U);
    }

    // The stream's last event passed the core's decision to give it up on the way.
    TEST_F(GatewayTest, StreamThatEndsAsItIsGivenUpIsBilledForWhatWasPassedOn)
    {
        world.reportsCuts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        const ProxyDispatch order = ordered(call);
        world.progress(order, 1);
        world.run(seconds(1));
        world.end(order, ProxyAttemptEnd::Completed, 200, 5);
        world.tell(ProxyRequestAbandoned { call, 5 });
        world.run(seconds(3));
        EXPECT_EQ(world.billed(), Tokens { 100 + 5 * 7 });
    }

    TEST_F(GatewayTest, CutStreamOfWhichNothingIsHeardIsBilledAtItsMost)
    {
        world.reportsCuts = false;
        const CallId call = world.arrive("/stream/x", 100, 700, milliseconds(500));
        world.progress(ordered(call), 1);
        world.run(seconds(4));
        EXPECT_EQ(world.billed(), Tokens { 100 + 700 });
    }

    TEST_F(GatewayTest, PromptOfAResumedStreamCountsOnce)
    {
        const CallId call = world.arrive("/resumable/x", 100, 70);
        world.end(ordered(call), ProxyAttemptEnd::Broken);
        const ProxyDispatch second = ordered(call);
        world.progress(second, 1);
        world.end(second, ProxyAttemptEnd::Broken, 200, 3);
        // As many servers as the route allows may have run it.
        EXPECT_FALSE(world.orderOf(call));
        world.run(seconds(2));
        EXPECT_LE(world.billed(), Tokens { 100 + 70 });
        EXPECT_GE(world.billed(), Tokens { 100 + 3 * 7 });
    }

    // Symptom: an account gets more tokens than it bought.
    // Events: an engine answers with one whole body instead of events.
    // Cause: such an answer has no events to count, so only its prompt was billed.
    TEST_F(GatewayTest, WholeAnswerOfAnEngineIsBilledAtItsMost)
    {
        world.publish([](fleet::FleetConfig& config) { config.routes[0].targets = { { ServiceName("model"), 1 } }; });
        const CallId call = world.arrive("/plain/x", 100, 70);
        world.end(ordered(call), ProxyAttemptEnd::Completed);
        world.run(seconds(2));
        EXPECT_EQ(world.billed(), Tokens { 100 + 70 });
    }

} // namespace
} // namespace swiftlift::node::testing
