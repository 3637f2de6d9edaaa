#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "node/GatewayWorld.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const PeerAddress collector { "127.0.0.1:7500" };

    /** A router of the same domain with a wide link is heard. */
    void hearCollector(GatewayWorld& world)
    {
        Heartbeat heartbeat;
        heartbeat.domain = FailureDomain { "a" };
        heartbeat.bandwidth = 200;
        world.handle(PeerReceived { Incarnation { 78 }, collector, heartbeat });
    }

    // Guards against a pace that includes the time that a stream spent at the servers of earlier attempts.
    TEST(GatewayLoadTest, ReportStatesThePaceOfTheLastAttempt)
    {
        GatewayWorld world(1'000'000, { milliseconds(200), seconds(1), 2 });
        world.becomeReady();
        hearCollector(world);
        const CallId call = world.arrive("/resumable/x", 10, 700);
        world.progress(*world.dispatchOf(call), 1);
        world.run(milliseconds(500));
        world.end(*world.dispatchOf(call), ProxyAttemptEnd::Broken, 0, 2);
        world.run(milliseconds(200));
        world.progress(*world.dispatchOf(call), 3);
        world.run(milliseconds(100));
        world.end(*world.dispatchOf(call), ProxyAttemptEnd::Completed, 200, 8);
        world.run(milliseconds(300));
        const auto reports = world.sent<LoadReport>();
        std::vector<Duration> paces;
        for (const auto& [to, report] : reports) {
            EXPECT_EQ(to, collector);
            for (const auto& entry : report.loads) {
                if (entry.pace) {
                    paces.push_back(*entry.pace);
                }
            }
        }
        EXPECT_EQ(paces, std::vector<Duration> { milliseconds(20) });
    }

    // Guards against head-of-line blocking: small requests waited seconds behind one that needs more memory than any
    // engine had free.
    TEST(GatewayLoadTest, RequestThatFitsNowhereDoesNotBlockSmallerOnes)
    {
        GatewayWorld world(1'000'000, { milliseconds(200), seconds(1), 2 });
        world.becomeReady();
        hearCollector(world);
        world.publish([](fleet::FleetConfig& config) { config.services.front().engine->memory = Tokens { 10'000 }; });
        world.run(seconds(1));
        world.handle(PeerReceived {
            Incarnation { 78 }, collector, LoadDigest { DigestScope::Fleet, 1, {}, FailureDomain { "a" } } });
        std::vector<CallId> large;
        for (int call = 0; call < 4; ++call) {
            large.push_back(world.arrive("/stream/" + std::to_string(call), 6'000, 1'000));
        }
        EXPECT_FALSE(world.dispatchOf(large.back())) << "each of the three engines holds one";
        const CallId small = world.arrive("/stream/small", 1'000, 100);
        EXPECT_TRUE(world.dispatchOf(small));
        EXPECT_FALSE(world.dispatchOf(large.back()));
        world.end(*world.dispatchOf(large.front()), ProxyAttemptEnd::Completed);
        EXPECT_TRUE(world.dispatchOf(large.back()));
    }

    // Guards against a change of the view that no log line shows, and against messages where the setting is off.
    TEST(GatewayLoadTest, ViewIsLoggedAndOffByDefault)
    {
        GatewayWorld world(1'000'000, { milliseconds(200), seconds(1), 2 });
        world.becomeReady();
        hearCollector(world);
        world.run(milliseconds(300));
        const LoadDigest digest { DigestScope::Fleet, 1, {}, FailureDomain { "a" } };
        world.handle(PeerReceived { Incarnation { 78 }, collector, digest });
        ASSERT_EQ(world.lines("load_view").size(), 1U);
        world.run(milliseconds(1300));
        EXPECT_EQ(world.lines("load_view").size(), 3U) << "lost, and this router collects itself";
        GatewayWorld off;
        off.becomeReady();
        hearCollector(off);
        off.handle(PeerReceived { Incarnation { 78 }, collector, digest });
        off.run(seconds(1));
        EXPECT_TRUE(off.lines("load_view").empty());
        EXPECT_TRUE(off.sent<LoadReport>().empty());
    }

} // namespace
} // namespace swiftlift::node::testing
