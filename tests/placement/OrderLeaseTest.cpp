#include <algorithm>

#include <gtest/gtest.h>

#include "placement/LeaseWorld.h"

namespace swiftlift::placement::testing {
namespace {

    using Holders = std::vector<std::size_t>;

    TEST(OrderLeaseTest, OneOfThreeTakesTheLeaseAndKeepsItsFencingNumber)
    {
        LeaseWorld world(3);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        const Holders first = world.holders();
        const std::uint64_t fencing = world.routers[first.front()].lease->fencing();
        for (int second = 0; second < 60; ++second) {
            world.run(seconds(1));
            ASSERT_EQ(world.holders(), first);
        }
        EXPECT_EQ(world.routers[first.front()].lease->fencing(), fencing);
        // One renewal each two seconds: what the log is charged for.
        EXPECT_LE(world.log.size(), 34U);
    }

    // Symptom: an engine obeys a router that no longer has the lease; two routers' orders undo each other.
    // Events: the holder freezes; its lease runs out and another takes it; the holder thaws and has read nothing yet.
    // Cause: a holder that trusts what it last read in place of its own clock.
    TEST(OrderLeaseTest, FrozenPastItsLeaseAndThawedOrdersNothing)
    {
        LeaseWorld world(2);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        const std::size_t frozen = world.holders().front();
        const std::size_t other = 1 - frozen;
        const std::uint64_t oldFencing = world.routers[frozen].lease->fencing();
        world.routers[frozen].frozen = true;
        ASSERT_TRUE(world.runUntil([&] { return world.routers[other].lease->mayIssueOrders(world.now); }));
        EXPECT_GT(world.routers[other].lease->fencing(), oldFencing);
        // Before it reads a single record.
        EXPECT_FALSE(world.routers[frozen].lease->mayIssueOrders(world.now));
        const std::size_t ordered = world.routers[frozen].orders.size();
        world.routers[frozen].frozen = false;
        world.run(seconds(30));
        EXPECT_EQ(world.routers[frozen].orders.size(), ordered);
        EXPECT_EQ(world.holders(), Holders { other });
    }

    // Symptom: two routers order within the same moment.
    // Events: for every moment of a renewal's cycle, the holder freezes there and thaws at any later moment.
    // Cause: others that count their wait from before the holder counts its lease.
    TEST(OrderLeaseTest, NoTwoOrderAtOnceWheneverTheHolderFreezes)
    {
        for (int offset = 0; offset < 40; ++offset) {
            for (const int frozenFor : { 3, 5, 6, 7, 8, 9, 10 }) {
                LeaseWorld world(3, static_cast<std::uint64_t>(offset * 100 + frozenFor));
                ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
                world.run(LeaseWorld::step * offset);
                const std::size_t holder = world.holders().front();
                world.routers[holder].frozen = true;
                world.run(seconds(frozenFor));
                world.routers[holder].frozen = false;
                for (int moment = 0; moment < 400; ++moment) {
                    ASSERT_LE(world.holders().size(), 1U) << "offset " << offset << ", frozen " << frozenFor << " s";
                    world.run(LeaseWorld::step);
                }
                EXPECT_EQ(world.holders().size(), 1U);
            }
        }
    }

    // Symptom: two holders after a start.
    // Events: two candidates that have read the same log claim at the same moment; both appends land.
    // Cause: a claim that counts because it landed, not because it names the present one.
    TEST(OrderLeaseTest, OfTwoClaimsThatNameTheSameTheFirstWins)
    {
        LeaseWorld world(2);
        world.holdAppends = 2;
        ASSERT_TRUE(world.runUntil([&] { return world.held.size() == 2; }));
        world.append(world.held[1]);
        world.append(world.held[0]);
        world.run(seconds(1));
        const std::size_t winner = world.held[1].holder.value() - 100;
        EXPECT_EQ(world.holders(), Holders { winner });
        EXPECT_EQ(world.routers[1 - winner].lease->fencing(), world.routers[winner].lease->fencing());
    }

    // Symptom: the holder loses its lease, or its fencing number jumps, because an answer got lost.
    // Events: a renewal takes effect, its answer does not come, the holder appends another that names the same claim.
    // Cause: taking a lost answer for a lost append.
    TEST(OrderLeaseTest, LostAppendAnswerChangesNothing)
    {
        LeaseWorld world(2);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        const Holders first = world.holders();
        const std::uint64_t fencing = world.routers[first.front()].lease->fencing();
        world.holdAppends = 1;
        ASSERT_TRUE(world.runUntil([&] { return world.held.size() == 1; }));
        world.append(world.held.front());
        world.append(world.held.front());
        world.run(seconds(20));
        EXPECT_EQ(world.holders(), first);
        EXPECT_EQ(world.routers[first.front()].lease->fencing(), fencing);
    }

    // Symptom: a router orders long after its claim, while another has the lease.
    // Events: an append is held up beyond the lease time, then lands and wins.
    // Cause: counting the lease from when the claim was read, not from when it was sent.
    TEST(OrderLeaseTest, ClaimThatLandsLateGivesNoLease)
    {
        LeaseWorld world(1);
        world.holdAppends = 100;
        ASSERT_TRUE(world.runUntil([&] { return !world.held.empty(); }));
        const Claim late = world.held.front();
        world.run(seconds(20));
        world.append(late);
        world.run(LeaseWorld::step);
        EXPECT_EQ(world.routers[0].lease->fencing(), 1U);
        EXPECT_TRUE(world.holders().empty());
        world.holdAppends = 0;
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        EXPECT_EQ(world.routers[0].lease->fencing(), 1U) << "nobody else came between: the tenure goes on";
    }

    // Symptom: orders from a router that can't know whether it still has the lease; or none ever after an outage.
    // Events: the log is out of everybody's reach for a minute, then back.
    // Cause: a holder that renews by its own word; or one that waits for an answer that never comes.
    TEST(OrderLeaseTest, LogOutageEndsAllOrdersAndAHolderReturns)
    {
        LeaseWorld world(3);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        for (auto& router : world.routers) {
            router.reachesLog = false;
        }
        world.run(seconds(6));
        const std::size_t appended = world.log.size();
        EXPECT_TRUE(world.holders().empty());
        world.run(seconds(54));
        EXPECT_TRUE(world.holders().empty());
        EXPECT_EQ(world.log.size(), appended);
        for (auto& router : world.routers) {
            router.reachesLog = true;
        }
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }, seconds(15)));
        EXPECT_EQ(world.holders().size(), 1U);
    }

    // Symptom: a holder goes on ordering although an engine has seen a later holder.
    // Events: an engine answers 409 with a higher fencing number before the log tells of the new holder.
    // Cause: waiting for the log to say what an engine has proved.
    TEST(OrderLeaseTest, StaleAnswerEndsTheTenureAndTheNextHasAHigherNumber)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.run(seconds(10));
        OrderLease& lease = *world.routers[0].lease;
        const std::uint64_t fencing = lease.fencing();
        lease.onStale(fencing);
        EXPECT_TRUE(lease.mayIssueOrders(world.now)) << "its own number is not stale";
        lease.onStale(fencing + 1);
        EXPECT_FALSE(lease.mayIssueOrders(world.now));
        world.run(seconds(7));
        EXPECT_TRUE(world.holders().empty());
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        EXPECT_GT(lease.fencing(), fencing + 1);
    }

    // Symptom: two routers order for some seconds.
    // Events: a renewal is held up for most of the lease time before it lands; by then the others' wait, which ended
    // with the claim before it, has let one of them claim.
    // Cause: as above, with an append that is late but not too late to count.
    TEST(OrderLeaseTest, LateRenewalHoldsFromWhenItWasSent)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.holdAppends = 100;
        ASSERT_TRUE(world.runUntil([&] { return world.held.size() == 1; }));
        const Instant sent = world.now;
        world.run(seconds(5));
        world.append(world.held.front());
        world.run(LeaseWorld::step);
        EXPECT_EQ(world.routers[0].lease->until(), sent + LeaseSettings {}.leaseTime);
    }

    // Symptom: after the log dropped old records, a fresh router takes a claim for the winner that has lost.
    // Events: in the first history B names what it could read and loses to A; in the second a reader without the first
    // records can't judge A's renewal at 3, and C's blind claim at 4, which names what is before it, loses.
    // Cause: judging a claim without the records that it was written on.
    TEST(OrderLeaseTest, ReaderWithoutTheFirstRecordsComesToTheSameTenure)
    {
        const Incarnation a { 1 };
        const Incarnation b { 2 };
        const Incarnation c { 9 };
        using History = std::vector<Claim>;
        const History raced { { a, 0, 0, 1 }, { a, 1, 1, 2 }, { b, 2, 0, 1 }, { a, 2, 1, 3 }, { b, 3, 3, 2 },
            { c, 3, 0, 1 }, { b, 5, 3, 3 }, { b, 7, 3, 4 }, { b, 8, 3, 5 } };
        const History blind { { a, 0, 0, 1 }, { a, 1, 1, 2 }, { b, 1, 0, 1 }, { a, 2, 1, 3 }, { c, 3, 0, 1 },
            { a, 4, 1, 4 }, { a, 6, 1, 5 }, { a, 7, 1, 6 } };
        for (const History& claims : { raced, blind }) {
            LeaseFold whole;
            for (std::uint64_t offset = 0; offset < claims.size(); ++offset) {
                (void)whole.apply(Offset { offset }, claims[offset]);
            }
            ASSERT_TRUE(whole.leaseTerm());
            EXPECT_EQ(whole.leaseTerm()->holder, claims.back().holder);
            EXPECT_EQ(whole.leaseTerm()->fencing, claims.back().fencing);
            for (std::uint64_t from = 1; from < claims.size(); ++from) {
                LeaseFold part;
                part.restart(Offset { from });
                for (std::uint64_t offset = from; offset < claims.size(); ++offset) {
                    (void)part.apply(Offset { offset }, claims[offset]);
                }
                ASSERT_TRUE(part.leaseTerm()) << "from " << from;
                EXPECT_EQ(part.leaseTerm()->holder, whole.leaseTerm()->holder) << "from " << from;
                EXPECT_EQ(part.leaseTerm()->fencing, whole.leaseTerm()->fencing) << "from " << from;
                EXPECT_EQ(part.leaseTerm()->claim, whole.leaseTerm()->claim) << "from " << from;
            }
        }
    }

    // Symptom: nobody ever orders again in a domain that was cut off longer than the log keeps records.
    // Events: all claims expire; a fresh router reads an empty stream that does not begin at 0.
    // Cause: a claim can't name a record that nobody can read.
    TEST(OrderLeaseTest, EverythingExpiredIsClaimedAfterTheWholeWait)
    {
        OrderLease lease(Incarnation { 7 }, LeaseSettings {}, 1);
        Instant now {};
        lease.onExpired(Offset { 40 });
        lease.onCaughtUp(now);
        EXPECT_FALSE(lease.due(true, now + seconds(7)));
        (void)lease.due(true, now + seconds(8));
        const auto claim = lease.due(true, now + seconds(10));
        ASSERT_TRUE(claim);
        lease.onRecord(Offset { 40 }, *claim, now + seconds(10));
        EXPECT_TRUE(lease.mayIssueOrders(now + seconds(11)));
        EXPECT_EQ(lease.fencing(), 41U);
    }

    // Symptom: a router of an older release orders by rules that no longer hold.
    // Events: a newer release appends a record of later rules.
    // Cause: skipping what can't be understood.
    TEST(OrderLeaseTest, LaterRulesEndItsOrders)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.routers[0].lease->onRecord(Offset { world.log.size() }, LaterRules {}, world.now);
        EXPECT_TRUE(world.holders().empty());
        EXPECT_FALSE(world.routers[0].lease->due(true, world.now + seconds(30)));
    }

    TEST(OrderLeaseTest, RecordsComeBackAsTheyWere)
    {
        const Claim claim { Incarnation { 5 }, 6, 7, 8 };
        EXPECT_EQ(std::get<Claim>(decode(encode(claim))), claim);
        const Need need { { "stitch", "storm" } };
        EXPECT_EQ(std::get<Need>(decode(encode(need))), need);
        EXPECT_TRUE(std::holds_alternative<Unreadable>(decode("\x07nonsense")));
        EXPECT_EQ(ordersStream(FailureDomain { "regina-a" }), StreamName { "orders-regina-a" });
    }

} // namespace
} // namespace swiftlift::placement::testing
