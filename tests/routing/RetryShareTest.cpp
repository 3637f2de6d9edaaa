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
            : routers_(routers, RetryShare(bound, start - bound.window))
        {
        }

        /** Each request that arrives wants to be retried `wanted` times. */
        void run(Duration time, int requestsPerSecond, int wanted)
        {
            const Instant end = now_ + time;
            const auto gap = std::chrono::duration_cast<Duration>(1s) / requestsPerSecond;
            for (; now_ < end; now_ += gap) {
                RetryShare& router = routers_[random_() % routers_.size()];
                router.onRequest();
                requests_.push_back(now_);
                for (int retry = 0; retry < wanted && router.reserve(extra(), now_); ++retry) {
                    router.onSent(now_);
                    retries_.push_back(now_);
                }
            }
        }

        /** The router's process ends, and the next one starts with an empty memory. */
        void restart(std::size_t router) { routers_[router] = RetryShare(bound, now_); }

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
        [[nodiscard]] double extra() const { return bound.extra / static_cast<double>(routers_.size()); }

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
        RetryingFleet fleet(6);
        fleet.run(12s, 200, 0);
        fleet.run(12s, 200, 1);
        EXPECT_LE(fleet.mostUsed(), 1.0);
        EXPECT_GE(fleet.retries(), 0.15 * 200 * 12) << "a calm fleet's share is used";
    }

    // Guards against a bound that holds only while the load is even.
    TEST(RetryShareTest, FleetKeepsItsBoundWhenALoadEndsAndReturns)
    {
        RetryingFleet fleet(7);
        fleet.run(12s, 400, 3);
        fleet.run(11s, 20, 3);
        fleet.run(3s, 400, 3);
        fleet.restartAll();
        fleet.run(12s, 200, 3);
        EXPECT_LE(fleet.mostUsed(), 1.0);
    }

    /** @return Number of retries that the share allows at this time; they are sent at once. */
    std::size_t sendAll(RetryShare& share, double extra, Instant now)
    {
        std::size_t sent = 0;
        for (; share.reserve(extra, now); ++sent) {
            share.onSent(now);
        }
        return sent;
    }

    void earn(RetryShare& share, int requests)
    {
        for (int request = 0; request < requests; ++request) {
            share.onRequest();
        }
    }

    TEST(RetryShareTest, ProcessStartsWithNothingSavedUp)
    {
        RetryShare share({ 1, 50, 10s }, start);
        EXPECT_EQ(sendAll(share, 50, start), 0U);
        earn(share, 10);
        EXPECT_EQ(sendAll(share, 50, start), 9U);
    }

    TEST(RetryShareTest, NoMoreThanTheShareOfTheExtraIsSavedUp)
    {
        RetryShare share({ 1, 50, 10s }, start);
        earn(share, 1000);
        EXPECT_EQ(sendAll(share, 10, start), 9U);
    }

    // Guards against routers of a fleet larger than the extra, which could never save up a whole retry.
    TEST(RetryShareTest, OneRetryCanBeSavedUpWithoutAShareOfTheExtra)
    {
        RetryShare share({ 0.2, 0, 10s }, start);
        earn(share, 1000);
        EXPECT_EQ(sendAll(share, 0, start), 1U);
    }

    // Guards against a quiet service whose requests are never retried, as they earn too little.
    TEST(RetryShareTest, ExtraIsAvailableAfterAWindowWithoutRetries)
    {
        RetryShare share({ 0.2, 50, 10s }, start);
        EXPECT_EQ(sendAll(share, 50, start + 10s), 0U) << "an earlier process may have sent retries just before";
        EXPECT_EQ(sendAll(share, 50, start + 11s), 45U);
        EXPECT_EQ(sendAll(share, 50, start + 21s), 0U);
        EXPECT_EQ(sendAll(share, 50, start + 22s), 45U);
    }

    // Guards against a burst of retries that were decided one by one while no server had room.
    TEST(RetryShareTest, ReservedRetriesCountUntilTheyAreSent)
    {
        RetryShare share({ 1, 10, 10s }, start);
        earn(share, 100);
        std::size_t reserved = 0;
        for (; share.reserve(10, start); ++reserved) { }
        EXPECT_EQ(reserved, 9U);
        earn(share, 100);
        EXPECT_FALSE(share.reserve(10, start + 20s)) << "all that may be saved up is reserved";
        share.release();
        EXPECT_TRUE(share.reserve(10, start + 20s));
    }

    TEST(RetryShareTest, RetryThatReachedNoServerIsGivenBack)
    {
        RetryShare share({ 1, 0, 10s }, start);
        earn(share, 2);
        EXPECT_EQ(sendAll(share, 0, start), 1U);
        share.onNotArrived();
        EXPECT_EQ(sendAll(share, 0, start), 1U);
    }

} // namespace
} // namespace swiftlift::routing::test
