#include "swiftlift/fleet/WarmupTracker.h"

#include <gtest/gtest.h>

namespace swiftlift::fleet {
namespace {

    using std::chrono::seconds;

    constexpr Duration warmup = seconds(3);
    const Instant start { seconds(100) };

    BackendServer entryOf(const std::string& id, std::uint64_t startedAt = 0, Duration warmupLeft = {})
    {
        BackendServer server;
        server.id = BackendId { id };
        server.startedAt = startedAt;
        server.warmupLeft = warmupLeft;
        return server;
    }

    class WarmupTrackerTest : public testing::Test {
    protected:
        [[nodiscard]] bool isCold(const std::string& id, Duration after) const
        {
            return tracker_.coldUntil(BackendId { id }, start + after).has_value();
        }

        WarmupTracker tracker_;
    };

    // Guards against a fleet that holds back from all its servers after a restart of a router: servers that are listed
    // when the router starts may have run for long.
    TEST_F(WarmupTrackerTest, ServerOfTheFirstListIsColdOnlyByItsEntry)
    {
        tracker_.onEntry(entryOf("warm"), warmup, start);
        tracker_.onEntry(entryOf("cold", 0, seconds(2)), warmup, start);
        tracker_.onAllListed();
        EXPECT_FALSE(isCold("warm", {}));
        EXPECT_TRUE(isCold("cold", seconds(1)));
        EXPECT_FALSE(isCold("cold", seconds(2)));
    }

    // Guards against a crash of a server that has just started because its first entry does not say that it is cold.
    TEST_F(WarmupTrackerTest, NewInstanceIsColdWhateverItsEntrySays)
    {
        tracker_.onEntry(entryOf("old", 5), warmup, start);
        tracker_.onAllListed();
        tracker_.onEntry(entryOf("new"), warmup, start);
        tracker_.onEntry(entryOf("old", 6), warmup, start);
        EXPECT_TRUE(isCold("new", seconds(2)));
        EXPECT_TRUE(isCold("old", seconds(2)));
        EXPECT_FALSE(isCold("new", seconds(3)));
    }

    TEST_F(WarmupTrackerTest, ServerMayTurnColdAtAnyMoment)
    {
        tracker_.onEntry(entryOf("s"), warmup, start);
        tracker_.onAllListed();
        EXPECT_FALSE(isCold("s", seconds(9)));
        tracker_.onEntry(entryOf("s", 0, seconds(3)), warmup, start + seconds(10));
        EXPECT_TRUE(isCold("s", seconds(12)));
        tracker_.onTurnedCold(BackendId { "s" }, warmup, start + seconds(20));
        EXPECT_TRUE(isCold("s", seconds(22)));
    }

    TEST_F(WarmupTrackerTest, LaterEntryDoesNotEndTheTimeEarly)
    {
        tracker_.onAllListed();
        tracker_.onEntry(entryOf("s"), warmup, start);
        tracker_.onEntry(entryOf("s", 0, Duration {}), warmup, start + seconds(1));
        EXPECT_TRUE(isCold("s", seconds(2)));
    }

    // Guards against a fleet that holds back from all servers after an outage of the log, in which their entries lapse.
    TEST_F(WarmupTrackerTest, ServerThatReturnsUnderItsIdHasNotStarted)
    {
        tracker_.onEntry(entryOf("s", 4), warmup, start);
        tracker_.onAllListed();
        tracker_.onRemoved(BackendId { "s" });
        tracker_.onEntry(entryOf("s", 4), warmup, start + seconds(5));
        EXPECT_FALSE(isCold("s", seconds(5)));
        tracker_.onRemoved(BackendId { "s" });
        tracker_.onEntry(entryOf("s", 9), warmup, start + seconds(6));
        EXPECT_TRUE(isCold("s", seconds(6))) << "a new instance under the same id";
    }

    TEST_F(WarmupTrackerTest, ServiceWithoutWarmupHasNoColdServers)
    {
        tracker_.onAllListed();
        tracker_.onEntry(entryOf("s"), Duration {}, start);
        EXPECT_FALSE(isCold("s", {}));
    }

} // namespace
} // namespace swiftlift::fleet
