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

} // namespace
} // namespace swiftlift::node::testing
