#include "swiftlift/routing/RetryBudget.h"

#include <chrono>

#include <gtest/gtest.h>

namespace swiftlift::routing {
namespace {

    using namespace std::chrono_literals;

    // Guards against a short outage of half the backend servers that becomes a long one of all: if retries are bounded
    // only per request, two retries of each failed request triple the load on the remaining servers.
    TEST(RetryBudgetTest, RetriesStayWithinTheirPercentage)
    {
        RetryBudget budget { 10 };
        Instant now { 10s };
        int retries = 0;
        for (int i = 0; i < 10'000; ++i) {
            now += 1ms;
            budget.onFirstAttempt(now);
            retries += budget.tryRetry(now) ? 1 : 0;
        }
        EXPECT_GE(retries, 1'000);
        EXPECT_LE(retries, 1'010)
            << "1,000 retries earned by first attempts, and those of the initial budget and of ten seconds";
    }

    TEST(RetryBudgetTest, ServiceWithoutTrafficMayRetryEveryFiveSeconds)
    {
        RetryBudget budget { 10 };
        Instant now { 10s };
        while (budget.tryRetry(now)) { }
        EXPECT_LE(budget.retryAfter(now), 5s);
        EXPECT_GT(budget.retryAfter(now), 4s);
        now += 5s;
        EXPECT_TRUE(budget.tryRetry(now));
        EXPECT_FALSE(budget.tryRetry(now));
    }

    TEST(RetryBudgetTest, ZeroPercentAllowsNoRetries)
    {
        RetryBudget budget { 0 };
        budget.onFirstAttempt(Instant { 10s });
        EXPECT_FALSE(budget.tryRetry(Instant { 100s }));
    }

} // namespace
} // namespace swiftlift::routing
