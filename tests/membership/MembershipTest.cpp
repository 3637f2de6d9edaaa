#include "swiftlift/membership/Membership.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::membership {
namespace {

    using namespace std::chrono_literals;

    const FailureDomain home { "regina-a" };
    const FailureDomain away { "regina-b" };
    const FailureDomain far { "lodz-a" };
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
            settings.domain = home;
            settings.region = region;
            settings.seed = 7;
            return settings;
        }

        void hear(Incarnation from, int vm, const FailureDomain& domain = home, bool stopping = false)
        {
            const Region where = domain == far ? farRegion : region;
            membership_.onHeartbeat(from, addressOf(vm), HeartbeatFacts { domain, where, stopping, true }, now_);
        }

        /** Lets time pass in ticks of 50 ms; `speakers` are heard in each period. */
        std::vector<MembershipEvent> pass(Duration time, const std::vector<std::pair<Incarnation, int>>& speakers = {})
        {
            std::vector<MembershipEvent> events;
            const Instant end = now_ + time;
            while (now_ < end) {
                now_ += 50ms;
                if ((now_.time_since_epoch() % 500ms).count() == 0) {
                    for (const auto& [incarnation, vm] : speakers) {
                        hear(incarnation, vm);
                    }
                }
                collect(events);
            }
            return events;
        }

        void collect(std::vector<MembershipEvent>& events)
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

    TEST_F(MembershipTest, SuspectsASilentPeerAndTakesItBack)
    {
        hear(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Suspected>(pass(2900ms)), 0U);
        const auto events = pass(400ms);
        ASSERT_EQ(count<Suspected>(events), 1U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
        hear(Incarnation { 2 }, 2);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 }));
        EXPECT_EQ(count<Recovered>(pass(50ms)), 1U);
    }

    // Symptom: all grants of the domain are sealed at once, though every VM lives.
    // Events: this VM is paused for a minute; it wakes, and its first tick comes before the heartbeats that wait.
    // Cause: the silence was its own, but the timers took it for that of the peers.
    TEST_F(MembershipTest, PausedVmSuspectsNobodyWhenItWakes)
    {
        hear(Incarnation { 2 }, 2);
        hear(Incarnation { 3 }, 3);
        (void)pass(100ms);
        now_ += 60s;
        std::vector<MembershipEvent> events;
        collect(events);
        EXPECT_EQ(count<SelfPaused>(events), 1U);
        EXPECT_EQ(count<Suspected>(events), 0U);
        // Those that were truly lost in the meantime are still noticed, by the usual limit.
        events = pass(3500ms, { { Incarnation { 2 }, 2 } });
        EXPECT_EQ(count<Suspected>(events), 1U);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 }));
        EXPECT_FALSE(membership_.isAlive(Incarnation { 3 }));
    }

    TEST_F(MembershipTest, NewIncarnationEndsTheOldOneForGood)
    {
        hear(Incarnation { 2 }, 2);
        hear(Incarnation { 22 }, 2);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 2 })) << "one word may be late";
        const auto events = pass(1s, { { Incarnation { 22 }, 2 } });
        EXPECT_EQ(count<Suspected>(events), 1U);
        EXPECT_EQ(count<Left>(events), 1U);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 22 }));
        EXPECT_EQ(membership_.addressOf(Incarnation { 2 }), std::nullopt);
        hear(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Joined>(pass(600ms, { { Incarnation { 2 }, 2 }, { Incarnation { 22 }, 2 } })), 0U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    // Symptom: a live peer is ignored until its next restart.
    // Events: a router restarts; its new life is heard first, then one late heartbeat of the old one, never heard
    // before. Cause: whatever was unknown counted as the newer one.
    TEST_F(MembershipTest, LateHeartbeatOfAnOldLifeDoesNotEndTheNewOne)
    {
        hear(Incarnation { 22 }, 2);
        hear(Incarnation { 2 }, 2);
        (void)pass(700ms, { { Incarnation { 22 }, 2 } });
        hear(Incarnation { 2 }, 2);
        (void)pass(700ms, { { Incarnation { 22 }, 2 } });
        EXPECT_TRUE(membership_.isAlive(Incarnation { 22 }));
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    TEST_F(MembershipTest, RetiredByTheLedgerNeverReturns)
    {
        hear(Incarnation { 2 }, 2);
        membership_.retire(Incarnation { 2 });
        EXPECT_EQ(count<Left>(pass(50ms)), 1U);
        hear(Incarnation { 2 }, 2);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 2 }));
    }

    TEST_F(MembershipTest, WitnessIsOfTheOwnDomainAndStays)
    {
        hear(Incarnation { 5 }, 5, away);
        (void)pass(50ms);
        ASSERT_EQ(membership_.witness(), Incarnation { 5 }) << "alone in its domain";
        hear(Incarnation { 2 }, 2);
        (void)pass(50ms);
        ASSERT_EQ(membership_.witness(), Incarnation { 2 });
        for (int vm = 10; vm < 30; ++vm) {
            hear(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)pass(50ms);
        EXPECT_EQ(membership_.witness(), Incarnation { 2 }) << "a change costs a record for each grant";
        hear(Incarnation { 2 }, 2, home, true);
        (void)pass(50ms);
        ASSERT_TRUE(membership_.witness());
        EXPECT_NE(*membership_.witness(), Incarnation { 2 }) << "it is stopping";
    }

    TEST_F(MembershipTest, PolicyMayForbidAWitnessElsewhere)
    {
        MembershipSettings alone = settings();
        alone.witnessPolicy = WitnessPolicy::OwnDomainOnly;
        Membership membership { alone };
        membership.onHeartbeat(Incarnation { 5 }, addressOf(5), HeartbeatFacts { away, region, false, true }, now_);
        (void)membership.tick(now_);
        EXPECT_EQ(membership.witness(), std::nullopt);
    }

    TEST_F(MembershipTest, LeavingVmsGetNoDuty)
    {
        hear(Incarnation { 2 }, 2);
        hear(Incarnation { 3 }, 3);
        membership_.onVmList({ { addressOf(1), home, region, true }, { addressOf(2), home, region, true },
                                 { addressOf(3), home, region, false } },
            now_);
        (void)pass(50ms);
        EXPECT_EQ(membership_.witness(), Incarnation { 3 });
        EXPECT_EQ(membership_.lenders(), std::vector { Incarnation { 3 } });
        EXPECT_TRUE(membership_.selfLeaving());
    }

    TEST_F(MembershipTest, OrdersPeersByDistance)
    {
        hear(Incarnation { 7 }, 7, far);
        hear(Incarnation { 5 }, 5, away);
        hear(Incarnation { 2 }, 2);
        const std::vector expected { Incarnation { 2 }, Incarnation { 5 }, Incarnation { 7 } };
        EXPECT_EQ(membership_.alivePeers(), expected);
        EXPECT_EQ(membership_.lenders(), expected);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 2 });
    }

    // Symptom: all routers of a large fleet lost the log, and each went on as if it were in reach: nobody lent.
    // Events: a peer beyond the domain says that it reaches the log; the log is lost; that peer's next turn to speak
    // comes seconds later.
    // Cause: the last word of a live peer counted, however old.
    TEST_F(MembershipTest, AnOldWordThatTheLogIsInReachIsNotBelieved)
    {
        hear(Incarnation { 5 }, 5, away);
        (void)pass(900ms);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 5 });
        (void)pass(300ms);
        EXPECT_TRUE(membership_.isAlive(Incarnation { 5 }));
        EXPECT_EQ(membership_.logReachablePeer(), std::nullopt);
        hear(Incarnation { 5 }, 5, away);
        (void)pass(50ms);
        EXPECT_EQ(membership_.logReachablePeer(), Incarnation { 5 }) << "it has said so again";
    }

    TEST_F(MembershipTest, CostDoesNotGrowWithTheFleet)
    {
        std::vector<ListedVm> vms;
        for (int vm = 1; vm <= 21; ++vm) {
            vms.push_back({ addressOf(vm), home, region, false });
        }
        for (int vm = 22; vm <= 250; ++vm) {
            vms.push_back({ addressOf(vm), far, farRegion, false });
        }
        membership_.onVmList(vms, now_);
        (void)pass(10s);
        int inDomain = 0;
        int beyond = 0;
        for (const auto& [address, times] : sent_) {
            (std::find_if(vms.begin(), vms.begin() + 21, [&](const ListedVm& vm) { return vm.address == address; })
                        != vms.begin() + 21
                    ? inDomain
                    : beyond)
                += times;
        }
        EXPECT_EQ(inDomain, 20 * 6);
        EXPECT_EQ(beyond, 20 * 2);
    }

    TEST_F(MembershipTest, ASmallDomainHearsAllItsPeersInEachPeriod)
    {
        for (int vm = 2; vm <= 7; ++vm) {
            hear(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)pass(50ms);
        sent_.clear();
        (void)pass(5s);
        for (int vm = 2; vm <= 7; ++vm) {
            EXPECT_EQ(sent_[addressOf(vm)], 10);
        }
    }

    // In a domain of 21 most peers speak every other second; the two that matter for money are noticed as soon as ever.
    TEST_F(MembershipTest, InALargeDomainWitnessAndHolderKeepTheShortLimit)
    {
        for (int vm = 2; vm <= 21; ++vm) {
            hear(Incarnation { static_cast<std::uint64_t>(vm) }, vm);
        }
        (void)pass(50ms);
        const Incarnation witness = *membership_.witness();
        const Incarnation holder { witness == Incarnation { 2 } ? 3U : 2U };
        membership_.setWatched({ holder }, now_);
        EXPECT_EQ(count<Suspected>(pass(2900ms)), 0U);
        (void)pass(200ms);
        EXPECT_FALSE(membership_.isAlive(witness));
        EXPECT_FALSE(membership_.isAlive(holder));
        EXPECT_EQ(membership_.counts().alive, 18U) << "the others have missed a turn or two";
        EXPECT_GE(sent_[addressOf(static_cast<int>(holder.value()))], 6);
    }

    // Symptom: peers of other domains are suspected and recover, over and over.
    // Events: with hundreds of them, each speaks once in a rotation of many seconds.
    // Cause: they were judged by the limit of the own domain, whose peers speak twice a second.
    TEST_F(MembershipTest, DistantPeersAreJudgedByTheRotation)
    {
        for (int vm = 22; vm <= 221; ++vm) {
            hear(Incarnation { static_cast<std::uint64_t>(vm) }, vm, far);
        }
        hear(Incarnation { 2 }, 2);
        EXPECT_EQ(count<Suspected>(pass(50s, { { Incarnation { 2 }, 2 } })), 0U) << "a rotation over 200 takes 50 s";
        EXPECT_EQ(count<Suspected>(pass(110s, { { Incarnation { 2 }, 2 } })), 200U) << "three turns missed";
    }

    TEST_F(MembershipTest, AWatchedDistantPeerGetsTheShortLimitFromThenOn)
    {
        for (int vm = 22; vm <= 121; ++vm) {
            hear(Incarnation { static_cast<std::uint64_t>(vm) }, vm, far);
        }
        hear(Incarnation { 2 }, 2);
        const std::vector<std::pair<Incarnation, int>> witness { { Incarnation { 2 }, 2 } };
        (void)pass(5s, witness);
        membership_.setWatched({ Incarnation { 30 } }, now_);
        EXPECT_EQ(count<Suspected>(pass(2900ms, witness)), 0U);
        EXPECT_EQ(count<Suspected>(pass(300ms, witness)), 1U);
        EXPECT_FALSE(membership_.isAlive(Incarnation { 30 }));
        EXPECT_GE(sent_[addressOf(30)], 6);
    }

    // A witness beyond the domain that died unnoticed, its turn in the rotation being long, is found out by the short
    // limit and replaced.
    TEST_F(MembershipTest, ADeadWitnessBeyondTheDomainIsReplaced)
    {
        hear(Incarnation { 22 }, 22, away);
        hear(Incarnation { 23 }, 23, away);
        (void)pass(50ms);
        const Incarnation first = *membership_.witness();
        const Incarnation other { first == Incarnation { 22 } ? 23U : 22U };
        for (int i = 0; i < 8; ++i) {
            hear(other, static_cast<int>(other.value()), away);
            (void)pass(500ms);
        }
        EXPECT_FALSE(membership_.isAlive(first));
        EXPECT_EQ(membership_.witness(), other);
    }

    TEST_F(MembershipTest, AnswersAHeartbeatFromBeyondOnceAndNoAnswerToAnAnswer)
    {
        std::vector<ListedVm> vms { { addressOf(5), away, region, false } };
        for (int vm = 22; vm <= 121; ++vm) {
            vms.push_back({ addressOf(vm), far, farRegion, false });
        }
        membership_.onVmList(vms, now_);
        hear(Incarnation { 5 }, 5, away);
        std::vector<MembershipEvent> events;
        collect(events);
        EXPECT_EQ(sent_[addressOf(5)], 1);
        now_ += 5ms;
        hear(Incarnation { 5 }, 5, away);
        collect(events);
        EXPECT_EQ(sent_[addressOf(5)], 1);
    }

    TEST_F(MembershipTest, ForgetsASilentPeerOnlyWhenThePlatformNoLongerListsIt)
    {
        hear(Incarnation { 2 }, 2);
        membership_.onVmList({ { addressOf(2), home, region, false } }, now_);
        EXPECT_EQ(count<Left>(pass(200s)), 0U);
        membership_.onVmList({ { addressOf(3), home, region, false } }, now_);
        EXPECT_EQ(count<Left>(pass(100ms)), 1U);
        EXPECT_EQ(membership_.addressOf(Incarnation { 2 }), std::nullopt);
    }

    TEST_F(MembershipTest, TriesSeedsBeforeTheListIsRead)
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
        for (std::uint64_t me = 100; me < 400; ++me) {
            MembershipSettings one = settings();
            one.self = Incarnation { me };
            Membership membership { one };
            for (std::uint64_t peer = 2; peer < 12; ++peer) {
                membership.onHeartbeat(Incarnation { peer }, addressOf(static_cast<int>(peer)),
                    HeartbeatFacts { home, region, false, true }, now_);
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
