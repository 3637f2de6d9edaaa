#include "swiftlift/routing/LoadShedder.h"

#include <gtest/gtest.h>

namespace swiftlift::routing {
namespace {

    using namespace std::chrono_literals;

    class LoadShedderTest : public testing::Test {
    protected:
        /** @brief Reads requests for some time at a constant rate, under the given load. */
        void readRequests(Duration time, int perSecond, const ObservedLoad& load)
        {
            const Duration gap = std::chrono::duration_cast<Duration>(1s) / perSecond;
            for (const Instant end = now + time; now < end; now += gap) {
                lastVerdict = shedder.onRequest(load, now);
            }
        }

        Instant now { 100s };
        LoadShedder shedder { { 100ms, 100 } };
        LoadShedVerdict lastVerdict = LoadShedVerdict::Accept;
    };

    TEST_F(LoadShedderTest, AcceptsRequestsWithinItsLimits)
    {
        readRequests(10s, 200, { 10ms, 5, false });
        EXPECT_EQ(lastVerdict, LoadShedVerdict::Accept);
        EXPECT_TRUE(shedder.ready(now));
    }

    TEST_F(LoadShedderTest, RefusesRequestsBeyondMaxLagOrMaxWaiting)
    {
        EXPECT_EQ(shedder.onRequest({ 120ms, 0, false }, now), LoadShedVerdict::Refuse);
        EXPECT_EQ(shedder.onRequest({ 0ms, 101, false }, now), LoadShedVerdict::Refuse);
    }

    // Guards against a VM that answers no request for 20 s after the load is back at what the VM carried before. For 6
    // s, callers send several times the usual load; their requests wait in the sockets until the callers have
    // disconnected. A router that forwards those requests and reports that it is ready gets just as many new ones.
    TEST_F(LoadShedderTest, DropsRequestsOfDisconnectedCallersAndIsNotReady)
    {
        readRequests(1s, 175, { 10ms, 0, true });
        EXPECT_EQ(lastVerdict, LoadShedVerdict::Drop);
        EXPECT_FALSE(shedder.ready(now));
    }

    // Guards against an overloaded VM that goes on getting new callers: the platform's load balancer removes a VM only
    // after two failed readiness probes in a row, which are a second apart.
    TEST_F(LoadShedderTest, IsNotReadyForTwoProbesInARow)
    {
        readRequests(500ms, 200, { 150ms, 0, false });
        now += 2s;
        EXPECT_FALSE(shedder.ready(now));
        now += 1s;
        EXPECT_TRUE(shedder.ready(now));
    }

    TEST_F(LoadShedderTest, IsReadyAgainOnceLagIsWithinItsLimit)
    {
        readRequests(1s, 200, { 150ms, 0, false });
        readRequests(4s, 100, { 10ms, 0, false });
        EXPECT_TRUE(shedder.ready(now));
    }

    // Guards against a VM with a link of 10 Mbit/s that takes all backend servers for unreachable while one account's
    // callers send requests of 4 KB faster than the link carries them. Connections then time out behind the requests,
    // although the router itself does not lag.
    TEST_F(LoadShedderTest, IsNotReadyBeforeItsLinkIsFull)
    {
        constexpr std::uint64_t linkBytes = 1'250'000;
        LoadShedder shedderWithLinkLimit { { 100ms, 100, linkBytes } };
        LinkTraffic traffic;
        shedderWithLinkLimit.onTraffic(traffic, now);
        const auto receiveInHalfSecond = [&](std::uint64_t received) {
            traffic.received += received;
            now += 500ms;
            shedderWithLinkLimit.onTraffic(traffic, now);
        };
        receiveInHalfSecond(linkBytes / 4);
        EXPECT_TRUE(shedderWithLinkLimit.ready(now));
        receiveInHalfSecond(linkBytes * 2 / 5);
        EXPECT_FALSE(shedderWithLinkLimit.ready(now));
        EXPECT_EQ(shedderWithLinkLimit.onRequest({}, now), LoadShedVerdict::Accept)
            << "the link still has room for callers that are connected already";
        receiveInHalfSecond(linkBytes / 2);
        EXPECT_EQ(shedderWithLinkLimit.onRequest({}, now), LoadShedVerdict::Refuse);
        receiveInHalfSecond(linkBytes / 10);
        EXPECT_EQ(shedderWithLinkLimit.onRequest({}, now), LoadShedVerdict::Accept);
        now += 3s;
        EXPECT_TRUE(shedderWithLinkLimit.ready(now));
    }

    /** A VM with 0.09 cores, as in a large fleet; the limits are those of the platform dialect. */
    class ShortOfCpuTest : public testing::Test {
    protected:
        /** @brief Uses this part of the VM's share of CPU time for a time. */
        void use(double share, Duration time)
        {
            for (const Instant end = now + time; now < end;) {
                now += 100ms;
                used += std::chrono::duration_cast<Duration>(100ms * cores * share);
                shedder.onCpuTime(used, now);
            }
        }

        static constexpr double cores = 0.09;
        Instant now { 100s };
        Duration used {};
        LoadShedder shedder { { 100ms, 100, 0, 100ms, 250ms, cores } };
    };

    // Guards against a VM that gets ten times its share of callers until it is seconds behind, and is ready all along.
    TEST_F(ShortOfCpuTest, IsNotReadyOnceMostOfItsShareIsUsed)
    {
        use(0.9, 3s);
        EXPECT_TRUE(shedder.ready(now)) << "its callers would move to VMs that hold no tokens for them";
        use(1, 1s);
        EXPECT_FALSE(shedder.ready(now));
        EXPECT_EQ(shedder.notReadyCause(now), NotReadyCause::Cpu);
        EXPECT_EQ(shedder.onRequest({}, now), LoadShedVerdict::Accept) << "present callers are still served";
        use(0.5, 4s);
        EXPECT_TRUE(shedder.ready(now));
    }

    // Guards against one large request that makes a VM look overloaded.
    TEST_F(ShortOfCpuTest, ShortUseOfTheWholeShareLeavesItReady)
    {
        use(0.3, 3s);
        use(1, 500ms);
        use(0.3, 2s);
        EXPECT_TRUE(shedder.ready(now));
    }

    // Guards against requests that wait seconds for a decision while timers are on time and few events wait.
    TEST_F(ShortOfCpuTest, OldEventsMakeItNotReadyAndThenRefuse)
    {
        EXPECT_EQ(shedder.onRequest({ 0ms, 3, false, 90ms }, now), LoadShedVerdict::Accept);
        EXPECT_TRUE(shedder.ready(now));
        EXPECT_EQ(shedder.onRequest({ 0ms, 3, false, 150ms }, now), LoadShedVerdict::Accept);
        EXPECT_EQ(shedder.notReadyCause(now), NotReadyCause::Lag);
        EXPECT_EQ(shedder.onRequest({ 0ms, 3, false, 251ms }, now), LoadShedVerdict::Refuse);
        EXPECT_EQ(LoadShedder::retryAfter({ 0ms, 3, false, 251ms }), 1s);
        EXPECT_EQ(LoadShedder::retryAfter({ 0ms, 3, false, 2s }), 4s);
    }

    // Guards against a failure domain that takes no more callers, because all its VMs became overloaded together.
    TEST_F(ShortOfCpuTest, StaysReadyWhileAQuarterOfTheDomainIsOverloaded)
    {
        shedder.setOverloadLimitReached(true);
        use(1, 2s);
        shedder.onEventDelay(200ms, now);
        EXPECT_TRUE(shedder.ready(now));
        shedder.onEventDelay(251ms, now);
        EXPECT_EQ(shedder.notReadyCause(now), NotReadyCause::Lag);
    }

    // Guards against a VM without a known share that stays ready while it lags, as it applies none of the CPU rules.
    TEST_F(ShortOfCpuTest, WithoutAKnownShareOnlyLagCounts)
    {
        LoadShedder unknownShare { { 100ms, 100, 0, 100ms, 250ms } };
        unknownShare.setOverloadLimitReached(true);
        unknownShare.onCpuTime(1s, now);
        unknownShare.onCpuTime(100s, now + 1s);
        EXPECT_TRUE(unknownShare.ready(now + 1s));
        unknownShare.onEventDelay(150ms, now);
        EXPECT_FALSE(unknownShare.ready(now));
    }

    TEST_F(LoadShedderTest, FewDisconnectedCallersLeaveItReady)
    {
        for (int count = 0; count < 10; ++count) {
            EXPECT_EQ(shedder.onRequest({ 0ms, 0, true }, now), LoadShedVerdict::Drop);
        }
        EXPECT_TRUE(shedder.ready(now));
    }

} // namespace
} // namespace swiftlift::routing
