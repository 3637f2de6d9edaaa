#include "swiftlift/routing/RetryShare.h"

#include <random>

#include <gtest/gtest.h>

namespace swiftlift::routing::test {
namespace {

    using namespace std::chrono_literals;

    constexpr RetryBound bound { 0.2, 52, 10s };
    constexpr Instant start {};

    // Guards against retries that overload a failing service because routers that are cut off from each other each use
    // the whole bound of the fleet.
    TEST(RetryShareTest, RoutersWithoutCommunicationKeepTheFleetsBound)
    {
        constexpr std::uint32_t routers = 6;
        std::vector<RetryShare> fleet(routers, RetryShare(bound));
        std::mt19937_64 random(1);
        int requests = 0;
        int retries = 0;
        for (Instant now = start; now < start + 10s; now += 5ms) {
            RetryShare& router = fleet[random() % 2 == 0 ? 0 : random() % routers];
            router.onRequest(now);
            ++requests;
            retries += router.take(routers, now) ? 1 : 0;
        }
        EXPECT_LE(retries, 0.2 * requests + 52);
        EXPECT_GE(retries, 0.15 * requests);
    }

    TEST(RetryShareTest, OldRetriesLeaveTheWindow)
    {
        RetryShare share({ 0, 10, 10s });
        for (int repeat = 0; repeat < 9; ++repeat) {
            EXPECT_TRUE(share.take(1, start));
        }
        EXPECT_FALSE(share.take(1, start + 9s));
        EXPECT_EQ(share.retryAfter(start + 9s), 1s);
        EXPECT_TRUE(share.take(1, start + 10s + 1us));
    }

    TEST(RetryShareTest, ShareIsDividedByTheNumberOfRouters)
    {
        RetryShare share({ 0, 40, 10s });
        int taken = 0;
        while (share.take(20, start)) {
            ++taken;
        }
        EXPECT_EQ(taken, 1);
    }

} // namespace
} // namespace swiftlift::routing::test
