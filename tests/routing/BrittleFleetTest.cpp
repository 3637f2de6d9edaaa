#include "routing/BrittleFleet.h"

#include <string>

#include <gtest/gtest.h>

namespace swiftlift::routing::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Part of what the servers have room for that callers must get, at least. */
    constexpr double minServedPart = 0.5;

    /** Runs before the servers become brittle. */
    [[nodiscard]] BrittleFleet fleetBeforeBrittleTime(const FleetPattern& pattern)
    {
        BrittleFleet fleet(pattern);
        fleet.run(seconds(2));
        fleet.setBrittle();
        return fleet;
    }

    void expectFewFalls(const BrittleFleet& fleet)
    {
        EXPECT_LE(fleet.falls(), fleet.allowedFalls()) << fleet.turnedAway() << " turned away";
        EXPECT_GE(static_cast<double>(fleet.served()), minServedPart * fleet.servable());
        ::testing::Test::RecordProperty("falls", static_cast<int>(fleet.falls()));
        ::testing::Test::RecordProperty("turned_away", static_cast<int>(fleet.turnedAway()));
        ::testing::Test::RecordProperty(
            "served_percent", static_cast<int>(100 * static_cast<double>(fleet.served()) / fleet.servable()));
    }

    /** One pattern of load, played with several numbers of requests that a server can turn away. */
    class BrittleFleetTest : public testing::TestWithParam<double> {
    protected:
        /** Plain services: few places, short requests. */
        [[nodiscard]] static FleetPattern plainService()
        {
            FleetPattern pattern;
            pattern.bearable = GetParam();
            return pattern;
        }

        [[nodiscard]] static FleetPattern engines()
        {
            FleetPattern pattern = enginePattern();
            pattern.bearable = GetParam();
            return pattern;
        }

        /** Many routers, few servers. */
        [[nodiscard]] static FleetPattern manyRouters()
        {
            FleetPattern pattern;
            pattern.bearable = GetParam();
            pattern.routers = 59;
            pattern.servers = 6;
            pattern.requestsPerSecond = 280;
            return pattern;
        }
    };

    // Guards against servers that fall because what fills them ends seconds later, while requests go on at half their
    // rate.
    TEST_P(BrittleFleetTest, LongRequestsFillEngines)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(engines());
        fleet.run(seconds(4));
        fleet.run(seconds(8), 2);
        fleet.run(seconds(3));
        expectFewFalls(fleet);
    }

    // Guards against servers that fall because the room that was left for waiting shrinks while it is in use.
    TEST_P(BrittleFleetTest, RoomShrinksUnderLoad)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(plainService());
        fleet.run(BrittleFleet::contactTime, 2);
        fleet.setWaiting(0);
        fleet.run(seconds(8), 2);
        expectFewFalls(fleet);
    }

    // Guards against servers that fall because nobody has told a router that has just started.
    TEST_P(BrittleFleetTest, RoutersStartUnderLoad)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(plainService());
        fleet.run(BrittleFleet::contactTime);
        fleet.setWaiting(0);
        for (int start = 0; start < 6; ++start) {
            fleet.restartRouter(static_cast<std::size_t>(start));
            fleet.run(seconds(1), 2);
        }
        expectFewFalls(fleet);
    }

    // Guards against engines that fall because all routers start at once and none knows that they are brittle.
    TEST_P(BrittleFleetTest, AllRoutersStartUnderLoad)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(engines());
        fleet.run(BrittleFleet::contactTime, 1.3);
        for (std::size_t router = 0; router < 6; ++router) {
            fleet.restartRouter(router);
        }
        fleet.run(seconds(8), 1.3);
        expectFewFalls(fleet);
    }

    // Guards against servers that fall because two routers don't hear from their peers that the servers are full.
    TEST_P(BrittleFleetTest, RoutersAreCutFromTheirPeers)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(plainService());
        fleet.run(BrittleFleet::contactTime);
        fleet.setWaiting(0);
        fleet.cutFromPeers(1);
        fleet.cutFromPeers(4);
        fleet.run(seconds(8), 3);
        expectFewFalls(fleet);
    }

    // Guards against servers that fall because one router has most of the callers and fills them alone.
    TEST_P(BrittleFleetTest, OneRouterHasMostOfTheLoad)
    {
        FleetPattern pattern = plainService();
        pattern.firstRouterPart = 0.8;
        BrittleFleet fleet = fleetBeforeBrittleTime(pattern);
        fleet.run(BrittleFleet::contactTime);
        fleet.setWaiting(0);
        fleet.run(seconds(8), 2);
        expectFewFalls(fleet);
    }

    // Guards against servers that fall because the others take the share of a router that has died.
    TEST_P(BrittleFleetTest, OneRouterDies)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(plainService());
        fleet.run(BrittleFleet::contactTime, 2);
        fleet.setWaiting(0);
        fleet.removeRouter(2);
        fleet.run(seconds(8), 2);
        expectFewFalls(fleet);
    }

    // Guards against a bound that each of many routers keeps for itself.
    TEST_P(BrittleFleetTest, ManyRoutersUnderLoad)
    {
        BrittleFleet fleet = fleetBeforeBrittleTime(manyRouters());
        fleet.run(BrittleFleet::contactTime);
        fleet.setWaiting(0);
        fleet.run(seconds(4));
        fleet.run(seconds(4), 2);
        fleet.run(seconds(3));
        expectFewFalls(fleet);
    }

    // Guards against many routers that fill engines with long requests.
    TEST_P(BrittleFleetTest, ManyRoutersFillEngines)
    {
        FleetPattern pattern = manyEnginePattern();
        pattern.bearable = GetParam();
        BrittleFleet fleet = fleetBeforeBrittleTime(pattern);
        fleet.run(BrittleFleet::contactTime);
        fleet.setWaiting(0);
        fleet.run(seconds(6), 1.8);
        expectFewFalls(fleet);
    }

    INSTANTIATE_TEST_SUITE_P(Bearable, BrittleFleetTest, testing::Values(1, 3, 8),
        [](const auto& bearable) { return "Bears" + std::to_string(static_cast<int>(bearable.param)); });

} // namespace
} // namespace swiftlift::routing::test
