#include "swiftlift/streams/VersionHistory.h"

#include <chrono>

#include <gtest/gtest.h>

namespace swiftlift::streams {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 100s };
    const ServiceName service { "model" };
    const SoftwareVersion v1 { "v1" };
    const SoftwareVersion v2 { "v2" };

    // Guards against a router that has just started and takes what it sees for all there was.
    TEST(VersionHistory, OnlyVersionIsKnownAfterTheTimeThatIsAskedFor)
    {
        VersionHistory history;
        EXPECT_FALSE(history.onlyVersion(service, 10s, start));
        history.setRegistered(service, { v1 }, start);
        EXPECT_FALSE(history.onlyVersion(service, 10s, start + 9s));
        EXPECT_EQ(history.onlyVersion(service, 10s, start + 10s), v1);
    }

    // Guards against streams of a version that was released a moment ago, or is just gone.
    TEST(VersionHistory, VersionThatIsGoneCountsForTheTimeThatIsAskedFor)
    {
        VersionHistory history;
        history.setRegistered(service, { v1 }, start);
        history.setRegistered(service, { v1, v2 }, start + 20s);
        EXPECT_TRUE(history.hasSeveral(service, 10s, start + 20s));
        EXPECT_FALSE(history.onlyVersion(service, 10s, start + 25s));
        history.setRegistered(service, { v2 }, start + 30s);
        EXPECT_FALSE(history.isRegistered(service, v1));
        EXPECT_TRUE(history.isRegistered(service, v2));
        EXPECT_TRUE(history.anyHasSeveral(10s, start + 40s));
        EXPECT_FALSE(history.onlyVersion(service, 10s, start + 40s));
        EXPECT_EQ(history.onlyVersion(service, 10s, start + 41s), v2);
        EXPECT_FALSE(history.hasSeveral(service, 10s, start + 41s));
    }

    // Guards against a router that starts after a kill of all and knows nothing of the versions before, or takes the
    // present one for the only one.
    TEST(VersionHistory, EarlierVersionsCountAsGoneNow)
    {
        VersionHistory history;
        history.setRegistered(service, { v1 }, start);
        history.addEarlier({ { service, { v1 } } }, start);
        EXPECT_EQ(history.onlyVersion(service, 60s, start), v1);

        VersionHistory changed;
        changed.addEarlier({ { service, { v1 } } }, start);
        changed.setRegistered(service, { v2 }, start + 1s);
        EXPECT_FALSE(changed.onlyVersion(service, 60s, start + 1s));
        EXPECT_TRUE(changed.hasSeveral(service, 60s, start + 1s));
        EXPECT_EQ(changed.recent(60s, start + 1s), (ServiceVersions { { service, { v1, v2 } } }));
        EXPECT_EQ(changed.onlyVersion(service, 60s, start + 61s), v2);
    }

    TEST(VersionHistory, ServiceWithoutServersKeepsItsHistory)
    {
        VersionHistory history;
        history.setRegistered(service, { v1 }, start);
        history.setRegistered(service, {}, start + 20s);
        EXPECT_FALSE(history.isRegistered(service, v1));
        EXPECT_EQ(history.onlyVersion(service, 10s, start + 25s), v1);
        EXPECT_FALSE(history.onlyVersion(service, 10s, start + 31s));
    }

} // namespace
} // namespace swiftlift::streams
