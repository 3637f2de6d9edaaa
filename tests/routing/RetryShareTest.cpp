#include "swiftlift/routing/RetryShare.h"

#include <random>

#include <gtest/gtest.h>

namespace swiftlift::routing::test {
namespace {

    using namespace std::chrono_literals;

    constexpr RetryBound bound { 0.2, 52, 10s };
    constexpr Instant start {};

    // Symptom: repeats overload a service that is failing already.
    // Events: routers that hear nothing of each other all repeat as much as the fleet may.
    // Cause: each took the whole bound for its own.
    TEST(RetryShareTest, RoutersThatHearNobodyKeepTheBoundTogether)
    {
        constexpr std::uint32_t routers = 6;
        std::vector<RetryShare> fleet(routers, RetryShare(bound));
        std::mt19937_64 random(1);
        int requests = 0;
        int repeats = 0;
        for (Instant now = start; now < start + 10s; now += 5ms) {
            RetryShare& router = fleet[random() % 2 == 0 ? 0 : random() % routers];
            router.onRequest(now);
            ++requests;
            repeats += router.take(routers, now) ? 1 : 0;
        }
        EXPECT_LE(repeats, 0.2 * requests + 52);
        EXPECT_GE(repeats, 0.15 * requests);
    }

    TEST(RetryShareTest, OldRepeatsLeaveTheWindow)
    {
        RetryShare share({ 0, 10, 10s });
        for (int repeat = 0; repeat < 9; ++repeat) {
            EXPECT_TRUE(share.take(1, start));
        }
        EXPECT_FALSE(share.take(1, start + 9s));
        EXPECT_EQ(share.retryAfter(start + 9s), 1s);
        EXPECT_TRUE(share.take(1, start + 10s + 1us));
    }

    TEST(RetryShareTest, MoreRoutersMeanASmallerShareEach)
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
