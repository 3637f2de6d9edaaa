#include "routing/RoomLimiter.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/routing/FleetShare.h"

namespace swiftlift::routing::internal {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Instant start { seconds(100) };
    constexpr Duration work = milliseconds(100);
    constexpr Duration trialGap = milliseconds(20);

    [[nodiscard]] RoomLimiter limiterWithPart(std::uint32_t guaranteed, double bearable = 5)
    {
        RoomLimiter limiter;
        limiter.setPart(RoomPart { guaranteed, bearable, Duration {}, trialGap, 0.5 }, start - seconds(10));
        return limiter;
    }

    TEST(RoomLimiter, ServerThatIsNotBrittleHasRoom) { EXPECT_EQ(RoomLimiter().use(1000, start), RoomUse::Free); }

    TEST(RoomLimiter, PartIsFreeAndTheRestIsATrial)
    {
        const RoomLimiter limiter = limiterWithPart(2);
        EXPECT_EQ(limiter.use(1, start), RoomUse::Free);
        EXPECT_EQ(limiter.use(2, start), RoomUse::Trial);
    }

    // Guards against a second trial that is sent before the server could turn the first one away.
    TEST(RoomLimiter, TrialsComeOneAfterTheOther)
    {
        RoomLimiter limiter = limiterWithPart(2);
        limiter.onDispatched(2, start);
        EXPECT_EQ(limiter.use(3, start + milliseconds(5)), RoomUse::None);
        EXPECT_EQ(limiter.use(3, start + milliseconds(50)), RoomUse::Trial);
    }

    // Guards against routers that fill a server again while what filled it still runs.
    TEST(RoomLimiter, FullServerGetsNoMoreThanWhatEndsThere)
    {
        RoomLimiter limiter = limiterWithPart(4);
        limiter.onTurnedAway(2, start, work);
        EXPECT_EQ(limiter.use(2, start + work), RoomUse::None);
        EXPECT_EQ(limiter.use(1, start + work), RoomUse::Free);
        EXPECT_EQ(limiter.use(3, start + 3 * work), RoomUse::Free);
        EXPECT_EQ(limiter.use(4, start + 3 * work), RoomUse::None);
        EXPECT_EQ(limiter.use(4, start + seconds(10)), RoomUse::Trial);
    }

    // Guards against a server that turns requests away all the time as its room is smaller than its stated places.
    TEST(RoomLimiter, RefusalWithinThePartReducesItForLongerEachTime)
    {
        RoomLimiter limiter = limiterWithPart(4);
        limiter.onOwnRefused(RoomPlace::Part, 2, start, work);
        EXPECT_EQ(limiter.use(2, start + 4 * work - milliseconds(1)), RoomUse::Trial);
        EXPECT_EQ(limiter.use(1, start + 4 * work - milliseconds(1)), RoomUse::Free);
        EXPECT_EQ(limiter.use(2, start + 4 * work), RoomUse::Free);
        limiter.onOwnRefused(RoomPlace::Part, 2, start + 5 * work, work);
        EXPECT_EQ(limiter.use(2, start + 12 * work), RoomUse::Trial) << "twice as long";
        EXPECT_EQ(limiter.use(2, start + 13 * work), RoomUse::Free);
    }

    // Guards against routers that take their whole parts back at once from a server that was full, and fill it again.
    TEST(RoomLimiter, PlacesComeBackOneByOneByTrials)
    {
        RoomLimiter limiter = limiterWithPart(4, 1);
        limiter.onTurnedAway(1, start, seconds(10));
        const Instant afterPause = start + seconds(25);
        EXPECT_EQ(limiter.use(1, start + seconds(1)), RoomUse::None);
        EXPECT_EQ(limiter.use(1, afterPause), RoomUse::Trial);
        EXPECT_TRUE(limiter.onDispatched(1, afterPause));
        EXPECT_EQ(limiter.use(1, afterPause), RoomUse::Free) << "the trial's place is proven";
        EXPECT_EQ(limiter.use(2, afterPause), RoomUse::None);
        EXPECT_EQ(limiter.use(2, afterPause + trialGap), RoomUse::Trial);
    }

    TEST(RoomLimiter, RefusedTrialGivesItsPlaceBack)
    {
        RoomLimiter limiter = limiterWithPart(4);
        limiter.onOwnRefused(RoomPlace::Part, 1, start, seconds(10));
        EXPECT_TRUE(limiter.onDispatched(1, start + seconds(1)));
        limiter.onOwnRefused(RoomPlace::Trial, 1, start + seconds(1), seconds(10));
        EXPECT_NE(limiter.use(1, start + seconds(2)), RoomUse::Free);
    }

    // Guards against requests of a router's last process that a server still runs.
    TEST(RoomLimiter, RouterThatHasStartedWaitsForNewsAndMakesTrials)
    {
        RoomLimiter limiter;
        limiter.onFormerProcess({ start + seconds(1), start + seconds(60) });
        limiter.setPart(RoomPart { 2, 1, Duration {}, trialGap, 0.5 }, start);
        EXPECT_EQ(limiter.use(0, start + milliseconds(500)), RoomUse::None);
        EXPECT_EQ(limiter.use(0, start + seconds(1) + trialGap), RoomUse::Trial);
        EXPECT_EQ(limiter.use(1, start + seconds(60)), RoomUse::Free);
    }

    // Guards against a place that a router takes over while the router that had it doesn't know.
    TEST(RoomLimiter, PartThatHasGrownIsTried)
    {
        RoomLimiter limiter = limiterWithPart(2, 1);
        limiter.setPart(RoomPart { 3, 1, Duration {}, trialGap, 0.5 }, start);
        EXPECT_EQ(limiter.use(1, start), RoomUse::Free);
        EXPECT_EQ(limiter.use(2, start), RoomUse::Trial);
    }

    // Guards against requests that a router sends before it can have heard of others' refusals.
    TEST(RoomLimiter, RequestsToOneServerAreSpaced)
    {
        RoomLimiter limiter;
        limiter.setPart(RoomPart { 4, 5, milliseconds(20), trialGap, 0.5 }, start);
        EXPECT_FALSE(limiter.onDispatched(0, start));
        EXPECT_EQ(limiter.use(1, start + milliseconds(10)), RoomUse::None);
        EXPECT_EQ(limiter.freeAt(1, start + milliseconds(10)), start + milliseconds(20));
        EXPECT_EQ(limiter.use(1, start + milliseconds(20)), RoomUse::Free);
    }

    // Guards against a request that its caller has left and that the server goes on with.
    TEST(RoomLimiter, CancelledRequestsTakeRoomUntilTheyEnd)
    {
        RoomLimiter limiter = limiterWithPart(1, 1);
        limiter.onLeftBehind(start + work, start);
        EXPECT_EQ(limiter.use(0, start), RoomUse::None);
        EXPECT_EQ(limiter.use(0, start + work), RoomUse::Free);
    }

    // Guards against a trial that crashes a server which bears only one refusal in a second.
    TEST(RoomLimiter, ServerThatBearsOneRefusalIsOnlyTriedByRoutersWithoutAPart)
    {
        EXPECT_EQ(limiterWithPart(1, 1).use(1, start), RoomUse::None);
        EXPECT_EQ(limiterWithPart(0, 1).use(0, start), RoomUse::Trial);
    }

    TEST(RoomShare, PartsOfAllRoutersFillTheServer)
    {
        const BackendId server { "s1" };
        for (const std::size_t count : { 4U, 6U, 59U }) {
            std::vector<PeerAddress> routers;
            for (std::size_t index = 0; index < count; ++index) {
                routers.emplace_back("10.0.0." + std::to_string(index) + ":7400");
            }
            std::uint32_t sum = 0;
            for (const PeerAddress& router : routers) {
                sum += roomShare(32, server, router, routers);
            }
            EXPECT_EQ(sum, 32U);
            EXPECT_EQ(roomShare(32, server, PeerAddress { "10.0.1.1:7400" }, routers), 0U);
        }
    }

} // namespace
} // namespace swiftlift::routing::internal
