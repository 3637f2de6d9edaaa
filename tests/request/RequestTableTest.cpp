#include "swiftlift/request/RequestTable.h"

#include <gtest/gtest.h>

namespace swiftlift::request {
namespace {

    constexpr RequestKey key { 1, 2 };
    constexpr CallId call { 1 };
    constexpr Incarnation self { 7 };
    constexpr Incarnation other { 8 };

    TEST(RequestTable, FirstAttemptGivenUpBeforeDispatchWasNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
    }

    // Symptom: a caller is told "not run" and then sees the effect of its request.
    // Events: the first attempt reaches router A, which is paused; the retry reaches router B, which has no money for
    // it; A wakes up and dispatches.
    // Cause: B spoke for an attempt that it knows nothing of.
    TEST(RequestTable, RetryFromElsewhereIsNeverCalledNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 2, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    TEST(RequestTable, RetryAtTheSameRouterKnowsItsHistory)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        (void)table.end(key, Outcome::NotRun, "overloaded", Tokens {});
        ASSERT_EQ(table.arrive(key, CallId { 2 }, 2, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
    }

    // Symptom, events and cause as above; here the second attempt went elsewhere and the third came back.
    TEST(RequestTable, RetryThatSkippedAnAttemptIsNeverCalledNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        (void)table.end(key, Outcome::NotRun, "overloaded", Tokens {});
        ASSERT_EQ(table.arrive(key, CallId { 2 }, 3, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    TEST(RequestTable, BrokenAttemptLeavesTheOutcomeUnknown)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        table.dispatched(key);
        table.attemptEnded(key, AttemptEnd::Broken);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
        EXPECT_TRUE(table.mayDispatch(key)) << "an idempotent request may run again";
    }

    TEST(RequestTable, AttemptThatWasNotStartedChangesNothing)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        table.dispatched(key);
        EXPECT_FALSE(table.mayDispatch(key)) << "one attempt at a time";
        table.attemptEnded(key, AttemptEnd::NotStarted);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
        EXPECT_TRUE(table.mayDispatch(key));
    }

    TEST(RequestTable, NonIdempotentNeedsItsClaimReadBack)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, false), Arrival::Proceed);
        EXPECT_FALSE(table.mayDispatch(key));
        table.claimSent(key);
        EXPECT_FALSE(table.mayDispatch(key));
        table.claimDecided(key, self, self);
        EXPECT_TRUE(table.mayDispatch(key));
    }

    // Symptom: an order is placed twice.
    // Events: the plain service takes the order and the connection breaks before its answer.
    // Cause: the router took the silence for a call that had not begun, and sent it to another backend server.
    TEST(RequestTable, NonIdempotentNeverRunsAgainAfterABreak)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, false), Arrival::Proceed);
        table.claimSent(key);
        table.claimDecided(key, self, self);
        table.dispatched(key);
        table.attemptEnded(key, AttemptEnd::Broken);
        EXPECT_FALSE(table.mayDispatch(key));
        EXPECT_FALSE(table.end(key, Outcome::Unknown, "backend_lost", Tokens {})) << "a used claim is not voided";
        EXPECT_EQ(table.arrive(key, CallId { 2 }, 2, false), Arrival::AlreadyEnded);
        EXPECT_EQ(table.arrive(key, CallId { 3 }, 3, true), Arrival::AlreadyEnded)
            << "a forgotten mark changes nothing";
    }

    // Symptom: a request that was called "not run" runs later.
    // Events: the claim's append gets no answer, the router gives up, the claim lands afterwards.
    // Cause: nobody had said in the log that the claim will never be used.
    TEST(RequestTable, GivingUpAPendingClaimVoidsIt)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, false), Arrival::Proceed);
        table.claimSent(key);
        EXPECT_TRUE(table.end(key, Outcome::NotRun, "claim_unavailable", Tokens {}));
        table.claimDecided(key, self, self);
        EXPECT_FALSE(table.mayDispatch(key));
    }

    TEST(RequestTable, ClaimOfAnotherRouterLeavesTheOutcomeUnknown)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, false), Arrival::Proceed);
        table.claimSent(key);
        table.claimDecided(key, other, self);
        EXPECT_FALSE(table.mayDispatch(key));
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    // Symptom: an order is placed twice, the second time long after the first.
    // Events: the router claims, runs and later forgets a request; a retry finds the claim in the ledger.
    // Cause: the router took its own old claim for leave to run the request now.
    TEST(RequestTable, ClaimFoundInTheLedgerIsNotLeaveToRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 2, false), Arrival::Proceed);
        table.claimFound(key, self);
        EXPECT_FALSE(table.mayDispatch(key));
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    TEST(RequestTable, VoidKeyIsCalledNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 2, false), Arrival::Proceed);
        table.claimFound(key, Incarnation {});
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
    }

    TEST(RequestTable, SameRequestInProgressIsNotStartedTwice)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        EXPECT_EQ(table.arrive(key, CallId { 2 }, 2, true), Arrival::InProgress);
        EXPECT_EQ(table.inProgress(), 1U);
    }

    TEST(RequestTable, ForgetsTheOldestEndedOnly)
    {
        RequestTable table(2);
        for (std::uint64_t number = 0; number < 4; ++number) {
            ASSERT_EQ(table.arrive({ 0, number }, CallId { number }, 1, true), Arrival::Proceed);
        }
        for (std::uint64_t number = 0; number < 3; ++number) {
            (void)table.end({ 0, number }, Outcome::Answered, "answered", Tokens { 1 });
        }
        EXPECT_EQ(table.find({ 0, 0 }), nullptr);
        EXPECT_NE(table.find({ 0, 1 }), nullptr);
        EXPECT_NE(table.find({ 0, 3 }), nullptr) << "one in progress is never forgotten";
        EXPECT_EQ(table.inProgress(), 1U);
    }

} // namespace
} // namespace swiftlift::request
