#include "transport/IdleConnections.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "transport/ConnectionLimits.h"

namespace swiftlift::transport::internal::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using Idle = IdleConnections<int>;
    using Clock = Idle::Clock;

    constexpr Clock::time_point start {};
    const BackendId first("s1");
    const BackendId second("s2");

    // Guards against a connection that is used after the backend server may have closed it.
    TEST(IdleConnections, ConnectionsAreNotTakenAfterTheirLimits)
    {
        Idle idle({ 4, 4 });
        EXPECT_FALSE(idle.add(first, 1, start, seconds(4)));
        EXPECT_FALSE(idle.take(second, start, std::nullopt));
        EXPECT_FALSE(idle.take(first, start + seconds(2), seconds(1)));
        EXPECT_FALSE(idle.take(first, start + seconds(4), std::nullopt));
        EXPECT_EQ(idle.expire(start + seconds(4)), std::vector { 1 });
        EXPECT_FALSE(idle.add(first, 2, start, seconds(4)));
        EXPECT_FALSE(idle.add(first, 3, start + seconds(1), seconds(4)));
        EXPECT_EQ(idle.take(first, start + seconds(2), seconds(1)), 3);
        EXPECT_EQ(idle.take(first, start + seconds(2), std::nullopt), 2);
        EXPECT_EQ(idle.size(), 0U);
    }

    // Guards against idle connections that use up the process's descriptors, and against closing one that is in use
    // more often than others.
    TEST(IdleConnections, LeastRecentlyUsedConnectionIsClosedFirst)
    {
        Idle idle({ 2, 3 });
        EXPECT_FALSE(idle.add(first, 1, start, seconds(60)));
        EXPECT_FALSE(idle.add(second, 2, start, seconds(60)));
        EXPECT_FALSE(idle.add(first, 3, start, seconds(60)));
        EXPECT_EQ(idle.add(first, 4, start, seconds(60)), 1);
        EXPECT_EQ(idle.add(BackendId("s3"), 5, start, seconds(60)), 2);
        EXPECT_EQ(idle.add(BackendId("s4"), 6, start, seconds(60)), 3);
        EXPECT_EQ(idle.size(), 3U);
    }

    TEST(ConnectionLimits, AdvertisedTimeIsUsedExceptForAMargin)
    {
        const StreamLimits limits;
        EXPECT_EQ(idleLimitFor(std::nullopt, limits), limits.backendIdleTime);
        EXPECT_EQ(idleLimitFor(seconds(0), limits), milliseconds(0));
        EXPECT_EQ(idleLimitFor(seconds(2), limits), milliseconds(1500));
        EXPECT_EQ(idleLimitFor(seconds(5), limits), seconds(4));
        EXPECT_EQ(idleLimitFor(seconds(60), limits), seconds(59));
        EXPECT_EQ(advertisedIdleTime("timeout=5, max=100"), seconds(5));
        EXPECT_FALSE(advertisedIdleTime("max=100"));
    }

    // Guards against a small VM whose callers or idle connections leave no descriptors for requests to backend servers;
    // the failure would look like servers that can't be reached.
    TEST(ConnectionLimits, DescriptorsAreShared)
    {
        StreamLimits small;
        limitByDescriptors(small, 3'075);
        EXPECT_EQ(small.connections, 1'437U);
        EXPECT_EQ(small.idleBackends, 718U);
        StreamLimits large;
        limitByDescriptors(large, 1'000'000);
        EXPECT_EQ(large.connections, StreamLimits {}.connections);
        EXPECT_EQ(large.idleBackends, StreamLimits {}.idleBackends);
    }

    /** How connections are kept in a replay. */
    struct Keeping {
        /** Kept for half of the advertised time; else for all of it except for a margin. */
        bool halfOfAdvertised = false;
        std::size_t total = 0;
        milliseconds freshTime { 1'000 };
    };

    struct ReplayResult {
        double reused = 0;
        std::size_t mostIdle = 0;
    };

    /** One router's requests, spread over 140 servers. */
    ReplayResult replay(const Keeping& keeping, seconds advertised, double requestsPerSecond)
    {
        constexpr int servers = 140;
        constexpr int requests = 20'000;
        constexpr double nonIdempotent = 0.26;
        constexpr milliseconds answerTime { 500 };
        const StreamLimits limits;
        const milliseconds half = std::min<milliseconds>(limits.backendIdleTime, milliseconds(advertised) / 2);
        const milliseconds idleLimit = keeping.halfOfAdvertised ? half : idleLimitFor(advertised, limits);
        Idle idle({ limits.idlePerBackend, keeping.total });
        std::mt19937 random(7); // NOLINT(cert-msc51-cpp): the replay is deterministic
        std::exponential_distribution<double> gap(requestsPerSecond);
        std::uniform_real_distribution<double> unit(0, 1);
        using Return = std::pair<Clock::time_point, std::string>;
        std::priority_queue<Return, std::vector<Return>, std::greater<>> running;
        ReplayResult result;
        int reused = 0;
        auto now = start;
        for (int request = 0; request < requests; ++request) {
            now += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random)));
            for (; !running.empty() && running.top().first <= now; running.pop()) {
                static_cast<void>(idle.add(BackendId(running.top().second), request, running.top().first, idleLimit));
            }
            static_cast<void>(idle.expire(now));
            result.mostIdle = std::max(result.mostIdle, idle.size());
            const std::string server = std::to_string(static_cast<int>(unit(random) * servers));
            const auto maxAge
                = unit(random) < nonIdempotent ? std::optional<Clock::duration>(keeping.freshTime) : std::nullopt;
            reused += idle.take(BackendId(server), now, maxAge) ? 1 : 0;
            running.emplace(now + answerTime, server);
        }
        result.reused = static_cast<double>(reused) / requests;
        return result;
    }

    // Guards against connections that are closed long before the backend server would close them: a router that spreads
    // its requests over many servers then makes a new connection for most of them.
    TEST(IdleConnections, MoreRequestsReuseAConnectionIfItIsKeptAsLongAsAdvertised)
    {
        constexpr std::size_t total = 718;
        constexpr std::size_t unbounded = 1'000'000;
        for (const seconds advertised : { seconds(5), seconds(15), seconds(60) }) {
            for (const double rate : { 5.0, 20.0, 60.0 }) {
                const auto half = replay({ true, unbounded, milliseconds(1'000) }, advertised, rate);
                const auto whole = replay({ false, total, milliseconds(1'000) }, advertised, rate);
                const auto longer = replay({ false, total, milliseconds(4'000) }, advertised, rate);
                std::cout << "advertised " << advertised.count() << " s, " << rate << "/s: reused " << half.reused
                          << " -> " << whole.reused << " (fresh 4 s: " << longer.reused << "), idle at most "
                          << half.mostIdle << " -> " << whole.mostIdle << "\n";
                EXPECT_GT(whole.reused, half.reused);
                EXPECT_LE(whole.mostIdle, total);
            }
        }
    }

} // namespace
} // namespace swiftlift::transport::internal::test
