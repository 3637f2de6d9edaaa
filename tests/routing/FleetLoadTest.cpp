#include <chrono>

#include <gtest/gtest.h>

#include "swiftlift/routing/FleetLoad.h"

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 100s };
    const ServerKey server { 7 };

    [[nodiscard]] ServerLoadEntry entry(std::uint32_t inProgress, std::optional<Duration> pace = std::nullopt)
    {
        return { server, { inProgress, Tokens { 1'000 * inProgress }, Tokens { 2'000 * inProgress } }, pace };
    }

} // namespace

// Without the subtraction a router would avoid the servers that it has just sent requests to.
TEST(FleetLoadTest, OwnReportIsNotCountedAsPeers)
{
    FleetLoad load;
    load.onReported({ entry(2) });
    load.onDigest({ entry(5) }, start);
    EXPECT_EQ(load.of(server, start)->load, entry(3).load);
}

// A digest that doesn't yet contain the last report must not give a negative load.
TEST(FleetLoadTest, ReportThatTheDigestLacksLeavesNothing)
{
    FleetLoad load;
    load.onReported({ entry(4) });
    load.onDigest({ entry(1) }, start);
    EXPECT_EQ(load.of(server, start)->load, ServerLoad {});
}

// A view that a dead collector left behind would keep requests from servers that are idle by now.
TEST(FleetLoadTest, ViewExpires)
{
    FleetLoad load(1s);
    EXPECT_FALSE(load.of(server, start));
    load.onDigest({ entry(5) }, start);
    EXPECT_EQ(load.of(server, start + 900ms)->age, 900ms);
    EXPECT_FALSE(load.of(server, start + 1001ms));
    EXPECT_FALSE(load.age(start + 1001ms));
}

// A server without requests is missing from a digest: that says that it is idle, not that nothing is known.
TEST(FleetLoadTest, ServerMissingFromTheDigestIsIdle)
{
    FleetLoad load;
    load.onDigest({}, start);
    EXPECT_EQ(load.of(server, start)->load, ServerLoad {});
}

// One slow stream must not make a server look slow, and a pace observed long ago says nothing.
TEST(FleetLoadTest, PaceIsSmoothedAndForgotten)
{
    FleetLoad load;
    load.onDigest({ entry(1, 20ms) }, start);
    load.onDigest({ entry(1, 60ms) }, start + 200ms);
    EXPECT_EQ(load.paceOf(server, start + 200ms), Duration { 30ms });
    EXPECT_EQ(load.paceOf(server, start + 20s), Duration { 30ms });
    EXPECT_FALSE(load.paceOf(server, start + 31s));
}

// A server that starts again under its id has none of the former instance's requests.
TEST(FleetLoadTest, InstancesOfAServerHaveDifferentKeys)
{
    const BackendId backend { "i-1" };
    EXPECT_NE(serverKey(backend, 1), serverKey(backend, 2));
    EXPECT_EQ(serverKey(backend, 1), serverKey(backend, 1));
}

} // namespace swiftlift::routing
