#include "swiftlift/membership/Membership.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::membership {
namespace {

    using namespace std::chrono_literals;

    const FailureDomain ownDomain { "regina-a" };
    const FailureDomain otherDomain { "regina-b" };
    const FailureDomain farDomain { "lodz-a" };
    const Region region { "sask-south" };
    const Region farRegion { "pl-central" };
    const Incarnation self { 1 };

    PeerAddress addressOf(int vm) { return PeerAddress { "127.0.1." + std::to_string(vm) + ":7400" }; }

    class MembershipTest : public testing::Test {
    protected:
        static MembershipSettings settings()
        {
            MembershipSettings settings;
            settings.self = self;
            settings.address = addressOf(1);
            settings.domain = ownDomain;
            settings.region = region;
            settings.seed = 7;
            return settings;
        }

        void receiveHeartbeat(Incarnation from, int vm, const FailureDomain& domain = ownDomain, bool stopping = false)
        {
            const Region where = domain == farDomain ? farRegion : region;
            membership_.onHeartbeat(from, addressOf(vm), HeartbeatFacts { domain, where, stopping, true }, now_);
        }

        /** Advances time in ticks of 50 ms; `speakers` send a heartbeat in each period. */
        std::vector<MembershipEvent> advance(
            Duration time, const std::vector<std::pair<Incarnation, int>>& speakers = {})
        {
            std::vector<MembershipEvent> events;
            const Instant end = now_ + time;
            while (now_ < end) {
                now_ += 50ms;
                if ((now_.time_since_epoch() % 500ms).count() == 0) {
                    for (const auto& [incarnation, vm] : speakers) {
                        receiveHeartbeat(incarnation, vm);
                    }
                }
                runTick(events);
            }
            return events;
        }

        void runTick(std::vector<MembershipEvent>& events)
        {
            const MembershipActions actions = membership_.tick(now_);
            events.insert(events.end(), actions.events.begin(), actions.events.end());
            for (const PeerAddress& address : actions.heartbeats) {
                ++sent_[address];
            }
        }

        template <typename Event> static std::size_t count(const std::vector<MembershipEvent>& events)
        {
            return static_cast<std::size_t>(std::count_if(events.begin(), events.end(),
                [](const MembershipEvent& event) { return std::holds_alternative<Event>(event); }));
        }

        Instant now_ { 10s };
        Membership membership_ { settings() };
        std::map<PeerAddress, int> sent_;
    };

    TEST_F(MembershipTest, SuspectsASilentPeerUntilItsNextHeartbeat)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Suspected>(advance(2900ms)), 0U);
        const auto events = advance(400ms);
        ASSERT_EQ(count<Suspected>(events), 1U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
        receiveHeartbeat(Incarnation { 2 }, 2);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 }));
        EXPECT_EQ(count<Recovered>(advance(50ms)), 1U);
    }

    // Guards against sealing all grants of the domain after a pause of this VM: the first tick after the pause comes
    // before the queued heartbeats are read, so the silence timers would count the pause as silence of the peers.
    TEST_F(MembershipTest, ResumedVmSuspectsNoPeerForItsOwnPause)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        receiveHeartbeat(Incarnation { 3 }, 3);
        (void)advance(100ms);
        now_ += 60s;
        std::vector<MembershipEvent> events;
        runTick(events);
        EXPECT_EQ(count<SelfPaused>(events), 1U);
        EXPECT_EQ(count<Suspected>(events), 0U);
        // A peer that failed during the pause is suspected after the usual limit.
        events = advance(3500ms, { { Incarnation { 2 }, 2 } });
        EXPECT_EQ(count<Suspected>(events), 1U);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 }));
        EXPECT_FALSE(membership_.isAlive(Incarnation { 3 }));
    }

    // Guards against live peers whose grants are sealed by a router that handles their heartbeats seconds late.
    TEST_F(MembershipTest, LaggingRouterSuspectsNoPeerForItsOwnLag)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        std::vector<MembershipEvent> events;
        for (int round = 0; round < 100; ++round) {
            now_ += 50ms;
            membership_.onOwnDelay(300ms, now_);
            runTick(events);
        }
        EXPECT_EQ(count<Suspected>(events), 0U);
        EXPECT_EQ(count<Suspected>(advance(2900ms)), 0U) << "silence counts from the end of the lag on";
        EXPECT_EQ(count<Suspected>(advance(400ms)), 1U) << "a peer that died during the lag is found";
    }

    TEST_F(MembershipTest, ShortWaitsOfEventsDelayNoSuspicion)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        (void)advance(2900ms);
        membership_.onOwnDelay(200ms, now_);
        EXPECT_EQ(count<Suspected>(advance(400ms)), 1U);
    }

    TEST_F(MembershipTest, CountsOverloadedPeersOfTheOwnDomain)
    {
        HeartbeatFacts facts { ownDomain, region, false, true, true };
        membership_.onHeartbeat(Incarnation { 2 }, addressOf(2), facts, now_);
        facts.domain = otherDomain;
        membership_.onHeartbeat(Incarnation { 3 }, addressOf(3), facts, now_);
        receiveHeartbeat(Incarnation { 4 }, 4);
        EXPECT_EQ(membership_.domainOverload().peers, 2U);
        EXPECT_EQ(membership_.domainOverload().overloaded, 1U);
        EXPECT_EQ(membership_.domainOverload().overloadedBefore, 0U);
    }

    TEST_F(MembershipTest, NewIncarnationReplacesThePreviousOneForGood)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        receiveHeartbeat(Incarnation { 22 }, 2);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 })) << "a single heartbeat may be a late one";
        const auto events = advance(1s, { { Incarnation { 22 }, 2 } });
        EXPECT_EQ(count<Suspected>(events), 1U);
        EXPECT_EQ(count<Left>(events), 1U);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 22 }));
        EXPECT_EQ(membership_.addressOf(Incarnation { 2 }), std::nullopt);
        receiveHeartbeat(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Joined>(advance(600ms, { { Incarnation { 2 }, 2 }, { Incarnation { 22 }, 2 } })), 0U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    // Guards against ignoring a live peer until its next restart: after a restart, a late heartbeat of the previous
    // incarnation, until then unknown here, arrives after the first one of the new incarnation and would replace the
    // new incarnation.
    TEST_F(MembershipTest, LateHeartbeatOfAPreviousIncarnationDoesNotReplaceTheNewOne)
    {
        receiveHeartbeat(Incarnation { 22 }, 2);
        receiveHeartbeat(Incarnation { 2 }, 2);
        (void)advance(700ms, { { Incarnation { 22 }, 2 } });
        receiveHeartbeat(Incarnation { 2 }, 2);
        (void)advance(700ms, { { Incarnation { 22 }, 2 } });
        EXPECT_TRUE(membership_.isAlive(Incarnation { 22 }));
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    TEST_F(MembershipTest, HeartbeatOfARetiredIncarnationIsIgnored)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        membership_.retire(Incarnation { 2 });
        EXPECT_EQ(count<Left>(advance(50ms)), 1U);
        receiveHeartbeat(Incarnation { 2 }, 2);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    TEST_F(MembershipTest, WitnessIsInTheOwnDomainAndStays)
    {
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        (void)advance(50ms);
        ASSERT_EQ(membership_.witness(), Incarnation { 5 }) << "no other VM in the own domain";
        receiveHeartbeat(Incarnation { 2 }, 2);
        (void)advance(50ms);
        ASSERT_EQ(membership_.witness(), Incarnation { 2 });
        for (int vm = 10; vm < 30; ++vm) {
            receiveHeartbeat(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)advance(50ms);
        EXPECT_EQ(membership_.witness(), Incarnation { 2 }) << "a change of witness costs one record per grant";
        receiveHeartbeat(Incarnation { 2 }, 2, ownDomain, true);
        (void)advance(50ms);
        ASSERT_TRUE(membership_.witness());
        EXPECT_NE(*membership_.witness(), Incarnation { 2 }) << "the previous witness is stopping";
    }

    TEST_F(MembershipTest, OwnDomainOnlyPolicyAllowsNoRemoteWitness)
    {
        MembershipSettings ownDomainOnly = settings();
        ownDomainOnly.witnessPolicy = WitnessPolicy::OwnDomainOnly;
        Membership membership { ownDomainOnly };
        membership.onHeartbeat(
            Incarnation { 5 }, addressOf(5), HeartbeatFacts { otherDomain, region, false, true }, now_);
        (void)membership.tick(now_);
        EXPECT_EQ(membership.witness(), std::nullopt);
    }

    TEST_F(MembershipTest, LeavingVmsAreNeitherWitnessNorLender)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        receiveHeartbeat(Incarnation { 3 }, 3);
        membership_.onVmList({ { addressOf(1), ownDomain, region, true }, { addressOf(2), ownDomain, region, true },
                                 { addressOf(3), ownDomain, region, false } },
            now_);
        (void)advance(50ms);
        EXPECT_EQ(membership_.witness(), Incarnation { 3 });
        EXPECT_EQ(membership_.lenders(), std::vector { Incarnation { 3 } });
        EXPECT_TRUE(membership_.selfLeaving());
    }

    TEST_F(MembershipTest, OrdersPeersByDistance)
    {
        receiveHeartbeat(Incarnation { 7 }, 7, farDomain);
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        receiveHeartbeat(Incarnation { 2 }, 2);
        const std::vector expected { Incarnation { 2 }, Incarnation { 5 }, Incarnation { 7 } };
        EXPECT_EQ(membership_.alivePeers(), expected);
        EXPECT_EQ(membership_.lenders(), expected);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 2 });
    }

    // Guards against routers of a large fleet that do not lend during a log outage because each takes the log for
    // reachable: a peer of another domain reports the log as reachable, the outage begins, and the peer's next
    // heartbeat by rotation comes seconds later. The failure occurs when a live peer's last report counts whatever its
    // age.
    TEST_F(MembershipTest, OutdatedReportThatTheLogIsReachableIsIgnored)
    {
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        (void)advance(900ms);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 5 });
        (void)advance(300ms);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 5 }));
        EXPECT_EQ(membership_.logReachablePeer(), std::nullopt);
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        (void)advance(50ms);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 5 })
            << "the peer has reported the log as reachable again";
    }

    TEST_F(MembershipTest, HeartbeatsPerPeriodDoNotGrowWithTheFleet)
    {
        std::vector<ListedVm> vms;
        for (int vm = 1; vm <= 21; ++vm) {
            vms.push_back({ addressOf(vm), ownDomain, region, false });
        }
        for (int vm = 22; vm <= 250; ++vm) {
            vms.push_back({ addressOf(vm), farDomain, farRegion, false });
        }
        membership_.onVmList(vms, now_);
        (void)advance(10s);
        int inDomain = 0;
        int remote = 0;
        for (const auto& [address, times] : sent_) {
            (std::find_if(vms.begin(), vms.begin() + 21, [&](const ListedVm& vm) { return vm.address == address; })
                        != vms.begin() + 21
                    ? inDomain
                    : remote)
                += times;
        }
        EXPECT_EQ(inDomain, 20 * 6);
        EXPECT_EQ(remote, 20 * 2);
    }

    TEST_F(MembershipTest, AllPeersOfASmallDomainGetAHeartbeatInEachPeriod)
    {
        for (int vm = 2; vm <= 7; ++vm) {
            receiveHeartbeat(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)advance(50ms);
        sent_.clear();
        (void)advance(5s);
        for (int vm = 2; vm <= 7; ++vm) {
            EXPECT_EQ(sent_[addressOf(vm)], 10);
        }
    }

    // In a domain of 21 VMs most peers send a heartbeat every other second. The witness and a watched grant holder, on
    // which tokens depend, are still suspected after the short limit.
    TEST_F(MembershipTest, InALargeDomainWitnessAndWatchedHolderKeepTheShortLimit)
    {
        for (int vm = 2; vm <= 21; ++vm) {
            receiveHeartbeat(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)advance(50ms);
        const Incarnation witness = *membership_.witness();
        const Incarnation holder { witness == Incarnation { 2 } ? 3U : 2U };
        membership_.setWatched({ holder }, now_);
        EXPECT_EQ(count<Suspected>(advance(2900ms)), 0U);
        (void)advance(200ms);
        EXPECT_FALSE(membership_.isAlive(witness));
        EXPECT_FALSE(membership_.isAlive(holder));
        EXPECT_EQ(membership_.counts().alive, 18U)
            << "the other peers have missed one or two heartbeats of the rotation";
        EXPECT_GE(sent_[addressOf(static_cast<int>(holder.value()))], 6);
    }

    // Guards against suspecting and recovering peers of other domains repeatedly: with hundreds of such peers, each
    // sends one heartbeat per rotation of many seconds. The silence limit of the own domain's peers, which send two
    // heartbeats a second, is too short for them.
    TEST_F(MembershipTest, SilenceLimitOfRemotePeersFollowsTheRotation)
    {
        for (int vm = 22; vm <= 221; ++vm) {
            receiveHeartbeat(Incarnation { static_cast<std::uint64_t>(vm) }, vm, farDomain);
        }
        receiveHeartbeat(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Suspected>(advance(50s, { { Incarnation { 2 }, 2 } })), 0U) << "a rotation over 200 takes 50 s";
        EXPECT_EQ(count<Suspected>(advance(110s, { { Incarnation { 2 }, 2 } })), 200U)
            << "three heartbeats of the rotation missed";
    }

    TEST_F(MembershipTest, AWatchedRemotePeerGetsTheShortLimitFromTheStartOfTheWatch)
    {
        for (int vm = 22; vm <= 121; ++vm) {
            receiveHeartbeat(Incarnation { static_cast<std::uint64_t>(vm) }, vm, farDomain);
        }
        receiveHeartbeat(Incarnation { 2 }, 2);
        const std::vector<std::pair<Incarnation, int>> witness { { Incarnation { 2 }, 2 } };
        (void)advance(5s, witness);
        membership_.setWatched({ Incarnation { 30 } }, now_);
        EXPECT_EQ(count<Suspected>(advance(2900ms, witness)), 0U);
        EXPECT_EQ(count<Suspected>(advance(300ms, witness)), 1U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 30 }));
        EXPECT_GE(sent_[addressOf(30)], 6);
    }

    // The short silence limit also holds for a witness in another domain, whatever the length of the rotation: a failed
    // witness is suspected within that limit and replaced.
    TEST_F(MembershipTest, AFailedWitnessInAnotherDomainIsReplaced)
    {
        receiveHeartbeat(Incarnation { 22 }, 22, otherDomain);
        receiveHeartbeat(Incarnation { 23 }, 23, otherDomain);
        (void)advance(50ms);
        const Incarnation first = *membership_.witness();
        const Incarnation other { first == Incarnation { 22 } ? 23U : 22U };
        for (int i = 0; i < 8; ++i) {
            receiveHeartbeat(other, static_cast<int>(other.value()), otherDomain);
            (void)advance(500ms);
        }
        EXPECT_FALSE(membership_.isAlive(first));
        EXPECT_EQ(membership_.witness(), other);
    }

    TEST_F(MembershipTest, AnswersAHeartbeatFromAnotherDomainOnceAndNeverAnAnswer)
    {
        std::vector<ListedVm> vms { { addressOf(5), otherDomain, region, false } };
        for (int vm = 22; vm <= 121; ++vm) {
            vms.push_back({ addressOf(vm), farDomain, farRegion, false });
        }
        membership_.onVmList(vms, now_);
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        std::vector<MembershipEvent> events;
        runTick(events);
        EXPECT_EQ(sent_[addressOf(5)], 1);
        now_ += 5ms;
        receiveHeartbeat(Incarnation { 5 }, 5, otherDomain);
        runTick(events);
        EXPECT_EQ(sent_[addressOf(5)], 1);
    }

    TEST_F(MembershipTest, ForgetsASilentPeerOnlyWhenThePlatformNoLongerListsIt)
    {
        receiveHeartbeat(Incarnation { 2 }, 2);
        membership_.onVmList({ { addressOf(2), ownDomain, region, false } }, now_);
        EXPECT_EQ(count<Left>(advance(200s)), 0U);
        membership_.onVmList({ { addressOf(3), ownDomain, region, false } }, now_);
        EXPECT_EQ(count<Left>(advance(100ms)), 1U);
        EXPECT_EQ(membership_.addressOf(Incarnation { 2 }), std::nullopt);
    }

    TEST_F(MembershipTest, SendsHeartbeatsToSeedsBeforeTheListIsRead)
    {
        MembershipSettings fresh = settings();
        fresh.seeds = { addressOf(1), addressOf(2), addressOf(3), addressOf(4) };
        Membership membership { fresh };
        std::set<PeerAddress> reached;
        for (int i = 0; i < 21; ++i) {
            for (const PeerAddress& address : membership.tick(now_ + i * 50ms).heartbeats) {
                reached.insert(address);
            }
        }
        EXPECT_EQ(reached, (std::set { addressOf(2), addressOf(3), addressOf(4) }));
    }

    TEST_F(MembershipTest, WitnessesSpreadOverTheDomain)
    {
        std::map<Incarnation, int> chosen;
        for (std::uint64_t ownId = 100; ownId < 400; ++ownId) {
            MembershipSettings routerSettings = settings();
            routerSettings.self = Incarnation { ownId };
            Membership membership { routerSettings };
            for (std::uint64_t peer = 2; peer < 12; ++peer) {
                membership.onHeartbeat(Incarnation { peer }, addressOf(static_cast<int>(peer)),
                    HeartbeatFacts { ownDomain, region, false, true }, now_);
            }
            (void)membership.tick(now_);
            ++chosen[*membership.witness()];
        }
        ASSERT_EQ(chosen.size(), 10U);
        for (const auto& [peer, times] : chosen) {
            EXPECT_LT(times, 60) << "twice the mean of 30";
        }
    }

} // namespace
} // namespace swiftlift::membership
