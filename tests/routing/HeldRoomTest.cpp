#include <string>

#include <gtest/gtest.h>

#include "routing/BrittleFleet.h"
#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Part of what the servers have room for that callers must get, at least. */
    constexpr double minServedPart = 0.5;
    constexpr std::uint64_t seeds = 4;
    /** The same for fleets whose plays take long. */
    constexpr std::uint64_t seedsOfManyRouters = 1;
    /** Mean tokens that a request takes in an engine's memory. */
    constexpr std::int64_t meanMemory = 12'000;

    /** Twice the usual load for 8 s. */
    void playWave(BrittleFleet& fleet)
    {
        fleet.run(seconds(1));
        fleet.run(seconds(8), 2);
        fleet.run(seconds(3));
    }

    /** Loads in which more holds a server's room than requests that a router has in progress there, played with several
     * numbers of requests that a server can turn away. */
    class HeldRoomTest : public testing::TestWithParam<double> {
    protected:
        /** Plays a load with several seeds, from the time on in which nothing may wait at the servers. */
        template <class Play> void expectNoFall(FleetPattern pattern, const Play& play)
        {
            pattern.bearable = GetParam();
            const std::uint64_t lastSeed = pattern.routers > 6 ? seedsOfManyRouters : seeds;
            for (std::uint64_t seed = 1; seed <= lastSeed; ++seed) {
                pattern.seed = seed;
                BrittleFleet fleet(pattern);
                fleet.run(seconds(2));
                fleet.setBrittle();
                fleet.run(BrittleFleet::contactTime);
                fleet.setWaiting(0);
                play(fleet);
                const double served = static_cast<double>(fleet.served()) / fleet.servable();
                EXPECT_EQ(fleet.falls(), 0U) << "seed " << seed << ", " << fleet.turnedAway() << " turned away, "
                                             << fleet.turnedAwayInPart() << " of them within a part";
                EXPECT_GE(served, minServedPart) << "seed " << seed;
                RecordProperty("served_percent_" + std::to_string(seed), static_cast<int>(100 * served));
            }
        }
    };

    // Guards against servers that fall because they go on with requests whose callers have left.
    TEST_P(HeldRoomTest, CallersLeaveTheirStreams)
    {
        FleetPattern pattern = enginePattern();
        pattern.leavingCallers = 0.3;
        expectNoFall(pattern, playWave);
    }

    TEST_P(HeldRoomTest, FewCallersLeaveTheirStreams)
    {
        FleetPattern pattern = enginePattern();
        pattern.leavingCallers = 0.05;
        expectNoFall(pattern, playWave);
    }

    // Guards against servers that go on with a request for longer than a router has ever seen.
    TEST_P(HeldRoomTest, RunsGoOnForLongWithoutACaller)
    {
        FleetPattern pattern = enginePattern();
        pattern.leavingCallers = 0.3;
        pattern.runOn = seconds(5);
        expectNoFall(pattern, playWave);
    }

    TEST_P(HeldRoomTest, CallersLeavePlainServers)
    {
        FleetPattern pattern;
        pattern.leavingCallers = 0.3;
        expectNoFall(pattern, playWave);
    }

    TEST_P(HeldRoomTest, CallersOfManyRoutersLeave)
    {
        FleetPattern pattern = manyEnginePattern();
        pattern.leavingCallers = 0.3;
        expectNoFall(pattern, playWave);
    }

    // Guards against engines that fall because their memory is used up while places are free.
    TEST_P(HeldRoomTest, MemoryHoldsHalfOfThePlaces)
    {
        FleetPattern pattern = enginePattern();
        pattern.requestMemory = Tokens { meanMemory };
        pattern.memory = Tokens { 16 * meanMemory };
        expectNoFall(pattern, playWave);
    }

    TEST_P(HeldRoomTest, MemoryHoldsHalfOfThePlacesOfManyRouters)
    {
        FleetPattern pattern = manyEnginePattern();
        pattern.requestMemory = Tokens { meanMemory };
        pattern.memory = Tokens { 12 * meanMemory };
        expectNoFall(pattern, playWave);
    }

    TEST_P(HeldRoomTest, MemoryIsShortAndCallersLeave)
    {
        FleetPattern pattern = enginePattern();
        pattern.requestMemory = Tokens { meanMemory };
        pattern.memory = Tokens { 16 * meanMemory };
        pattern.leavingCallers = 0.1;
        expectNoFall(pattern, playWave);
    }

    /** Four routers list only each other, while two others go on by the whole list. */
    void playDifferentLists(BrittleFleet& fleet)
    {
        for (std::size_t router = 0; router < 4; ++router) {
            fleet.listRouters(router, { 0, 1, 2, 3 });
        }
        playWave(fleet);
    }

    /** The same, and the two hear no peers. */
    void playUnlistedRoutersAlone(BrittleFleet& fleet)
    {
        fleet.cutFromPeers(4);
        fleet.cutFromPeers(5);
        playDifferentLists(fleet);
    }

    // Guards against servers that fall because routers divide their room by different lists of routers.
    TEST_P(HeldRoomTest, RoutersListDifferentRouters) { expectNoFall(enginePattern(), playDifferentLists); }

    TEST_P(HeldRoomTest, RoutersOfPlainServersListDifferentRouters) { expectNoFall({}, playDifferentLists); }

    TEST_P(HeldRoomTest, UnlistedRoutersHearNoPeers) { expectNoFall(enginePattern(), playUnlistedRoutersAlone); }

    TEST_P(HeldRoomTest, UnlistedRoutersOfPlainServersHearNoPeers) { expectNoFall({}, playUnlistedRoutersAlone); }

    /** Kills the routers one after the other under load; what they have sent runs on. */
    void killRouters(BrittleFleet& fleet)
    {
        for (std::size_t router = 0; router < 6; ++router) {
            fleet.run(seconds(1), 2);
            fleet.restartRouter(router);
        }
        fleet.run(seconds(4), 2);
    }

    // Guards against servers that fall because they go on with what a killed router had sent.
    TEST_P(HeldRoomTest, RoutersAreKilledOneAfterTheOther) { expectNoFall(enginePattern(), killRouters); }

    TEST_P(HeldRoomTest, RoutersAreKilledAndCallersLeave)
    {
        FleetPattern pattern = enginePattern();
        pattern.leavingCallers = 0.1;
        expectNoFall(pattern, killRouters);
    }

    TEST_P(HeldRoomTest, CallersLeaveRoutersThatHearNoPeers)
    {
        FleetPattern pattern = enginePattern();
        pattern.leavingCallers = 0.3;
        expectNoFall(pattern, [](BrittleFleet& fleet) {
            fleet.cutFromPeers(1);
            fleet.cutFromPeers(4);
            playWave(fleet);
        });
    }

    INSTANTIATE_TEST_SUITE_P(Bearable, HeldRoomTest, testing::Values(1, 3, 8),
        [](const auto& bearable) { return "Bears" + std::to_string(static_cast<int>(bearable.param)); });

    /** A table of one brittle server with 4 places, for one of two routers. */
    class BrittleTableTest : public TableTest {
    protected:
        BrittleTableTest()
        {
            table_.setRouters(self_, { self_, second_ }, now_);
            BackendEntry entry { engine(1), ownDomain, 8 };
            entry.memory = Tokens { 50'000 };
            table_.setBackends(drafts, { entry }, now_);
            Announcement stated;
            stated.brittle = 3;
            table_.onAnnounced(engine(1), stated, now_);
        }

        [[nodiscard]] AttemptId send(Tokens memory)
        {
            const AttemptId attempt { ++lastAttempt_ };
            DispatchFacts facts;
            facts.memory = memory;
            facts.timeLeft = timeLeft;
            table_.onDispatched(engine(1), attempt, facts, now_);
            return attempt;
        }

        /** Sends a request that the server turns away. @return What the router takes for its room there. */
        [[nodiscard]] RoomFacts roomOf(int server)
        {
            Announcement stated;
            stated.brittle = 3;
            table_.onAnnounced(engine(server), stated, now_);
            finish(server, dispatch(server), EndKind::NotStarted);
            const std::vector<TurnedAway> lines = table_.takeTurnedAway();
            return lines.empty() ? RoomFacts {} : lines.front().room;
        }

        /** @return True if the server gets no second request right after the first. */
        [[nodiscard]] bool isLimited(int server)
        {
            (void)dispatch(server);
            return view(server).heldBackBy == LimitCause::Brittle;
        }

        [[nodiscard]] std::uint32_t partOf(int server) { return roomOf(server).part; }
        [[nodiscard]] std::uint32_t heldPlaces() { return roomOf(1).held; }

        static constexpr Duration timeLeft = 5s;
        PeerAddress self_ { "10.0.0.1:7400" };
        PeerAddress second_ { "10.0.0.2:7400" };
    };

    // Guards against a place that is taken for free while the server goes on with what had it.
    TEST_F(BrittleTableTest, RequestsThatTheServerMayGoOnWithKeepTheirPlaces)
    {
        finish(1, send(Tokens { 700 }), EndKind::Cancelled);
        now_ += 30ms;
        finish(1, send(Tokens { 700 }), EndKind::Broken);
        EXPECT_EQ(heldPlaces(), 2U);
        now_ += timeLeft;
        EXPECT_EQ(heldPlaces(), 0U) << "the server stops a request at the time that it was told";
    }

    TEST_F(BrittleTableTest, RequestsThatDidNotReachTheServerKeepNoPlace)
    {
        FinishFacts facts;
        facts.kind = EndKind::Broken;
        facts.arrived = false;
        table_.onFinished(engine(1), send(Tokens { 700 }), facts, now_);
        EXPECT_EQ(heldPlaces(), 0U);
    }

    // Guards against a server that is back under another id and is filled by all routers at once.
    TEST_F(BrittleTableTest, ServerThatIsNewInABrittleServiceIsLimitedAtOnce)
    {
        table_.setBackends(drafts, { { engine(1), ownDomain, 8 }, { engine(2), ownDomain, 8 } }, now_);
        EXPECT_TRUE(isLimited(2));
    }

    // Guards against a service that counts as sound because one of its servers states something else.
    TEST_F(BrittleTableTest, RecordOfOneServerDoesNotEndTheBrittlenessOfTheOthers)
    {
        table_.setBackends(
            drafts, { { engine(1), ownDomain, 8 }, { engine(2), ownDomain, 8 }, { engine(3), ownDomain, 8 } }, now_);
        Announcement limited;
        limited.limit = 5;
        table_.onAnnounced(engine(2), limited, now_);
        EXPECT_TRUE(isLimited(3));
    }

    // Guards against routers that take over the part of one that has left their list and doesn't know it yet.
    TEST_F(BrittleTableTest, RouterThatLeftTheListKeepsItsPartForAWhile)
    {
        const PeerAddress third { "10.0.0.3:7400" };
        const PeerAddress fourth { "10.0.0.4:7400" };
        const PeerAddress fifth { "10.0.0.5:7400" };
        table_.setRouters(self_, { self_, second_, third, fourth, fifth }, now_);
        const std::uint32_t before = partOf(1);
        table_.setRouters(self_, { self_, second_ }, now_);
        EXPECT_EQ(partOf(1), before);
        now_ += 60s;
        table_.tick(now_);
        EXPECT_EQ(partOf(1), 2U);
    }

    // Guards against a server that falls while no line tells whether places, memory, lists or ended requests were
    // short.
    TEST_F(BrittleTableTest, RefusalTellsWhatTheRouterTookForRoom)
    {
        now_ += 60s;
        table_.setRouters(self_, { second_, self_ }, now_);
        const AttemptId first = send(Tokens { 700 });
        const AttemptId second = send(Tokens { 800 });
        finish(1, first, EndKind::Cancelled);
        now_ += 100ms;
        finish(1, second, EndKind::NotStarted);
        const std::vector<TurnedAway> lines = table_.takeTurnedAway();
        ASSERT_EQ(lines.size(), 1U);
        EXPECT_EQ(lines[0].place, RoomPlace::Part);
        EXPECT_EQ(lines[0].room.part, 2U);
        EXPECT_EQ(lines[0].room.held, 1U);
        EXPECT_EQ(lines[0].room.routers, 2U);
        EXPECT_EQ(lines[0].room.listAge, 100ms);
        EXPECT_EQ(lines[0].room.serverMemory, Tokens { 50'000 });
        EXPECT_EQ(lines[0].requestMemory, Tokens { 800 });
    }

} // namespace
} // namespace swiftlift::routing::test
