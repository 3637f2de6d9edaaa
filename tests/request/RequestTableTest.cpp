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

    // Guards against reporting "not run" for a request that runs afterwards. The first attempt reaches router A, which
    // is suspended; the retry reaches router B, which has no tokens for the request; A resumes and dispatches the first
    // attempt, of which B has no record.
    TEST(RequestTable, RetryWhoseFirstAttemptWentElsewhereIsNotReportedNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 2, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    TEST(RequestTable, RetryAtTheSameRouterMayBeReportedNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        (void)table.end(key, Outcome::NotRun, "overloaded", Tokens {});
        ASSERT_EQ(table.arrive(key, CallId { 2 }, 2, true), Arrival::Proceed);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
    }

    // Guards against reporting "not run" for a request that runs afterwards, when the second attempt went to another
    // router and the third came back to the first.
    TEST(RequestTable, RetryThatSkippedAnAttemptIsNotReportedNotRun)
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

    TEST(RequestTable, AttemptThatWasNotStartedLeavesOutcomeNotRun)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, true), Arrival::Proceed);
        table.dispatched(key);
        EXPECT_FALSE(table.mayDispatch(key)) << "the request has an attempt in progress at a backend server";
        table.attemptEnded(key, AttemptEnd::NotStarted);
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::NotRun);
        EXPECT_TRUE(table.mayDispatch(key));
    }

    TEST(RequestTable, NonIdempotentIsDispatchedOnlyOnceItsClaimIsReadBack)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 1, false), Arrival::Proceed);
        EXPECT_FALSE(table.mayDispatch(key));
        table.claimSent(key);
        EXPECT_FALSE(table.mayDispatch(key));
        table.claimDecided(key, self, self);
        EXPECT_TRUE(table.mayDispatch(key));
    }

    // Guards against an order that is placed twice: the plain service takes the order, the connection breaks before the
    // answer, and the router takes the request for not started and sends it to another backend server.
    TEST(RequestTable, NonIdempotentNeverRunsAgainAfterABrokenAttempt)
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
            << "a retry without the non-idempotent mark is refused too";
    }

    // Guards against a request that runs after it was reported "not run": the append of the claim gets no answer, the
    // router gives the request up, and the claim reaches the log afterwards without a record there that voids it.
    TEST(RequestTable, GivingUpARequestWithPendingClaimVoidsTheClaim)
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

    // Guards against an order that is placed twice, the second time long after the first: the router claims, runs and
    // later evicts a request, a retry finds the claim in the ledger, and the router takes its own old claim as
    // permission to run the request again.
    TEST(RequestTable, ClaimFoundInTheLedgerDoesNotPermitDispatch)
    {
        RequestTable table;
        ASSERT_EQ(table.arrive(key, call, 2, false), Arrival::Proceed);
        table.claimFound(key, self);
        EXPECT_FALSE(table.mayDispatch(key));
        EXPECT_EQ(table.outcomeIfGivenUp(key), Outcome::Unknown);
    }

    TEST(RequestTable, RequestWithVoidClaimIsReportedNotRun)
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

    TEST(RequestTable, EvictsOnlyTheOldestEndedRequests)
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
        EXPECT_NE(table.find({ 0, 3 }), nullptr) << "a request in progress is never evicted";
        EXPECT_EQ(table.inProgress(), 1U);
    }

} // namespace
} // namespace swiftlift::request
