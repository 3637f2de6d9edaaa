#include "node/GatewayFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::seconds;

    class GatewayAnnouncementTest : public GatewayTest {
    protected:
        /** The server states this in the head of an answer. */
        void announce(const std::string& server, const routing::Announcement& announcement)
        {
            world.handle(BackendAnnounced { BackendId(server), announcement });
        }
    };

    // Guards against requests that go on to a server that asked for none, without a line that says what was known.
    TEST_F(GatewayAnnouncementTest, ChangedAnnouncementsAndRestsAreLogged)
    {
        announce("p-1", { 2.5, false, {} });
        announce("p-1", { 2.5, false, {} });
        EXPECT_EQ(world.lines("announcement").size(), 1U);
        announce("p-1", { 2.5, true, {} });
        EXPECT_EQ(world.lines("announcement").size(), 2U);
        announce("p-1", { 2.5, true, seconds(3) });
        EXPECT_EQ(world.lines("announcement").size(), 3U);
    }

    // Guards against a server that names the rate it can bear and still gets each request whose first choice it is.
    TEST_F(GatewayAnnouncementTest, LimitedServerGetsNoMoreThanItsLimit)
    {
        world.registerVms({ "127.0.0.1:7400" });
        announce("p-1", { 2.0, false, {} });
        int count = 0;
        for (int number = 0; number < 60; ++number) {
            const ProxyDispatch dispatch = dispatched(world.arrive("/plain/x"));
            count += dispatch.backend == BackendId { "p-1" } ? 1 : 0;
            world.end(dispatch, ProxyAttemptEnd::Completed);
            world.run(std::chrono::milliseconds(60));
        }
        EXPECT_LE(count, 2 * 4) << "2 a second, for 3.6 s";
        EXPECT_GE(count, 2);
    }

} // namespace
} // namespace swiftlift::node::testing
