#include "swiftlift/routing/LoadShedder.h"

#include <gtest/gtest.h>

namespace swiftlift::routing {
namespace {

    using namespace std::chrono_literals;

    class LoadShedderTest : public testing::Test {
    protected:
        /** Lets requests come for a while, each a part of a second after the other. */
        void load(Duration time, int perSecond, const ObservedLoad& load)
        {
            const Duration gap = std::chrono::duration_cast<Duration>(1s) / perSecond;
            for (const Instant end = now + time; now < end; now += gap) {
                last = intake.onRequest(load, now);
            }
        }

        Instant now { 100s };
        LoadShedder intake { { 100ms, 100 } };
        LoadShedVerdict last = LoadShedVerdict::Accept;
    };

    TEST_F(LoadShedderTest, TakesInWhatItCanDo)
    {
        load(10s, 200, { 10ms, 5, false });
        EXPECT_EQ(last, LoadShedVerdict::Accept);
        EXPECT_TRUE(intake.ready(now));
    }

    TEST_F(LoadShedderTest, RefusesWhatWouldMakeAllOthersLater)
    {
        EXPECT_EQ(intake.onRequest({ 120ms, 0, false }, now), LoadShedVerdict::Refuse);
        EXPECT_EQ(intake.onRequest({ 0ms, 101, false }, now), LoadShedVerdict::Refuse);
    }

    // Symptom: a VM answers nobody for 20 s, though the load is what it carried before.
    // Events: for 6 s callers press with several times the usual; their requests wait in the sockets until the callers
    // have left; the VM reads them one after the other and sends each on.
    // Cause: it worked for callers that had left, said that it was ready, and so got as many again.
    TEST_F(LoadShedderTest, DropsWhatNobodyWaitsForAndSendsCallersElsewhere)
    {
        load(1s, 175, { 10ms, 0, true });
        EXPECT_EQ(last, LoadShedVerdict::Drop);
        EXPECT_FALSE(intake.ready(now));
    }

    // Symptom: callers go on being sent to a VM that is overloaded.
    // Events: it says no to one question and yes to the next one, a second later.
    // Cause: the platform's entry takes a VM out after two questions in a row without a yes.
    TEST_F(LoadShedderTest, StaysAwayForTwoQuestionsInARow)
    {
        load(500ms, 200, { 150ms, 0, false });
        now += 2s;
        EXPECT_FALSE(intake.ready(now));
        now += 1s;
        EXPECT_TRUE(intake.ready(now));
    }

    TEST_F(LoadShedderTest, ReturnsOnceItKeepsUp)
    {
        load(1s, 200, { 150ms, 0, false });
        load(4s, 100, { 10ms, 0, false });
        EXPECT_TRUE(intake.ready(now));
    }

    // Symptom: a VM with a link of 10 Mbit/s takes all backend servers for unreachable, for as long as one account's
    // callers press.
    // Events: requests of 4 KB come faster than the link carries; connections wait behind them for longer than they
    // may. Cause: the router was in time with its work, so nothing told it that it had taken in too much.
    TEST_F(LoadShedderTest, SendsCallersElsewhereBeforeItsLinkIsFull)
    {
        constexpr std::uint64_t linkBytes = 1'250'000;
        LoadShedder narrow { { 100ms, 100, linkBytes } };
        LinkTraffic traffic;
        narrow.onTraffic(traffic, now);
        const auto halfSecond = [&](std::uint64_t received) {
            traffic.received += received;
            now += 500ms;
            narrow.onTraffic(traffic, now);
        };
        halfSecond(linkBytes / 4);
        EXPECT_TRUE(narrow.ready(now));
        halfSecond(linkBytes * 2 / 5);
        EXPECT_FALSE(narrow.ready(now));
        EXPECT_EQ(narrow.onRequest({}, now), LoadShedVerdict::Accept) << "there is room left for what comes anyway";
        halfSecond(linkBytes / 2);
        EXPECT_EQ(narrow.onRequest({}, now), LoadShedVerdict::Refuse);
        halfSecond(linkBytes / 10);
        EXPECT_EQ(narrow.onRequest({}, now), LoadShedVerdict::Accept);
        now += 3s;
        EXPECT_TRUE(narrow.ready(now));
    }

    TEST_F(LoadShedderTest, AFewCallersThatLeftSayNothing)
    {
        for (int count = 0; count < 10; ++count) {
            EXPECT_EQ(intake.onRequest({ 0ms, 0, true }, now), LoadShedVerdict::Drop);
        }
        EXPECT_TRUE(intake.ready(now));
    }

} // namespace
} // namespace swiftlift::routing
