#include "swiftlift/routing/RetryShare.h"

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::routing::test {
namespace {

    using namespace std::chrono_literals;

    constexpr RetryBound bound { 0.2, 52, 10s };
    constexpr Instant start {};

    /** Routers of a fleet, each with its part of the bound, and all requests and retries that they sent. */
    class RetryingFleet {
    public:
        explicit RetryingFleet(std::uint32_t routers)
            : routers_(routers, RetryShare(bound))
        {
        }

        /** Each request that arrives wants to be retried `wanted` times. */
        void run(Duration time, int requestsPerSecond, int wanted)
        {
            const Instant end = now_ + time;
            const auto gap = std::chrono::duration_cast<Duration>(1s) / requestsPerSecond;
            for (; now_ < end; now_ += gap) {
                RetryShare& router = routers_[random_() % routers_.size()];
                router.onRequest(now_);
                requests_.push_back(now_);
                for (int retry = 0; retry < wanted && router.take(size(), now_); ++retry) {
                    retries_.push_back(now_);
                }
            }
        }

        /** The router's process ends, and the next one starts with an empty memory. */
        void restart(std::size_t router) { routers_[router] = RetryShare(bound); }

        void restartAll()
        {
            for (std::size_t router = 0; router < routers_.size(); ++router) {
                restart(router);
            }
        }

        /** @return Most retries in a window that begins at one of them, as a part of what is allowed there. */
        [[nodiscard]] double mostUsed() const
        {
            double most = 0;
            for (const Instant from : retries_) {
                const double requests = std::max({ countIn(requests_, from),
                    countIn(requests_, from - bound.window / 2), countIn(requests_, from - bound.window) });
                most = std::max(most, countIn(retries_, from) / (bound.ratio * requests + bound.extra));
            }
            return most;
        }

        [[nodiscard]] std::size_t retries() const noexcept { return retries_.size(); }

    private:
        [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(routers_.size()); }

        [[nodiscard]] static double countIn(const std::vector<Instant>& times, Instant from)
        {
            const auto first = std::ranges::lower_bound(times, from);
            return static_cast<double>(std::ranges::lower_bound(times, from + bound.window) - first);
        }

        std::vector<RetryShare> routers_;
        std::vector<Instant> requests_;
        std::vector<Instant> retries_;
        Instant now_ = start;
        std::mt19937_64 random_ { 1 };
    };

    // Guards against retries that pile up when all routers are killed while they retry: each starts with a whole share.
    TEST(RetryShareTest, RestartedFleetKeepsItsBound)
    {
        RetryingFleet fleet(7);
        fleet.run(12s, 200, 0);
        fleet.run(2s, 200, 3);
        fleet.restartAll();
        fleet.run(12s, 200, 3);
        EXPECT_LE(fleet.mostUsed(), 1.0);
    }

    // Guards against retries that pile up over a series of restarts, of which each adds one more share.
    TEST(RetryShareTest, RoutersThatRestartInSeriesKeepTheFleetsBound)
    {
        RetryingFleet fleet(7);
        fleet.run(12s, 200, 0);
        for (std::size_t restart = 0; restart < 28; ++restart) {
            fleet.run(600ms, 200, 3);
            fleet.restart(restart % 7);
        }
        EXPECT_LE(fleet.mostUsed(), 1.0);
    }

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
