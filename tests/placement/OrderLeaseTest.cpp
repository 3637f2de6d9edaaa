#include <algorithm>

#include <gtest/gtest.h>

#include "placement/LeaseWorld.h"

namespace swiftlift::placement::testing {
namespace {

    using Holders = std::vector<std::size_t>;

    TEST(OrderLeaseTest, OneOfThreeRoutersTakesTheLeaseAndKeepsItsFencingNumber)
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
        // At most one renewal every two seconds, to limit the load on the log.
        EXPECT_LE(world.log.size(), 34U);
    }

    // The holder freezes, its lease runs out and another router takes it. When the first router thaws, it has not read
    // the new claim yet. If it relied on the last record read rather than on its own clock, both routers would issue
    // orders that undo each other.
    TEST(OrderLeaseTest, HolderFrozenPastItsLeaseIssuesNoOrdersAfterThawing)
    {
        LeaseWorld world(2);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        const std::size_t frozen = world.holders().front();
        const std::size_t other = 1 - frozen;
        const std::uint64_t oldFencing = world.routers[frozen].lease->fencing();
        world.routers[frozen].frozen = true;
        ASSERT_TRUE(world.runUntil([&] { return world.routers[other].lease->mayIssueOrders(world.now); }));
        EXPECT_GT(world.routers[other].lease->fencing(), oldFencing);
        // The frozen router has not read any further record yet.
        EXPECT_FALSE(world.routers[frozen].lease->mayIssueOrders(world.now));
        const std::size_t ordered = world.routers[frozen].orders.size();
        world.routers[frozen].frozen = false;
        world.run(seconds(30));
        EXPECT_EQ(world.routers[frozen].orders.size(), ordered);
        EXPECT_EQ(world.holders(), Holders { other });
    }

    // The holder freezes at each point of a renewal cycle and thaws after various times. Two routers could issue orders
    // at once if the others' wait began before the time from which the holder counts its lease.
    TEST(OrderLeaseTest, AtMostOneRouterMayIssueOrdersWheneverTheHolderFreezes)
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

    // Two candidates that have read the same log claim at the same moment, and both appends reach the log. There would
    // be two holders if a claim won by reaching the log rather than by naming the present claim.
    TEST(OrderLeaseTest, FirstOfTwoClaimsThatReplaceTheSameClaimWins)
    {
        LeaseWorld world(2);
        world.appendsToHold = 2;
        ASSERT_TRUE(world.runUntil([&] { return world.heldClaims.size() == 2; }));
        world.append(world.heldClaims[1]);
        world.append(world.heldClaims[0]);
        world.run(seconds(1));
        const std::size_t winner = world.heldClaims[1].holder.value() - 100;
        EXPECT_EQ(world.holders(), Holders { winner });
        EXPECT_EQ(world.routers[1 - winner].lease->fencing(), world.routers[winner].lease->fencing());
    }

    // A renewal reaches the log but its answer is lost, so the holder appends another one that names the same claim. If
    // a lost answer were taken for a lost append, the holder would lose its lease or its fencing number would jump.
    TEST(OrderLeaseTest, LostAppendAnswerChangesNothing)
    {
        LeaseWorld world(2);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        const Holders first = world.holders();
        const std::uint64_t fencing = world.routers[first.front()].lease->fencing();
        world.appendsToHold = 1;
        ASSERT_TRUE(world.runUntil([&] { return world.heldClaims.size() == 1; }));
        world.append(world.heldClaims.front());
        world.append(world.heldClaims.front());
        world.run(seconds(20));
        EXPECT_EQ(world.holders(), first);
        EXPECT_EQ(world.routers[first.front()].lease->fencing(), fencing);
    }

    // An append is delayed beyond the lease time, then reaches the log and wins. If the lease counted from when the
    // claim was read rather than sent, the router would issue orders while another one has the lease.
    TEST(OrderLeaseTest, ClaimThatReachesTheLogLateGivesNoLease)
    {
        LeaseWorld world(1);
        world.appendsToHold = 100;
        ASSERT_TRUE(world.runUntil([&] { return !world.heldClaims.empty(); }));
        const Claim late = world.heldClaims.front();
        world.run(seconds(20));
        world.append(late);
        world.run(LeaseWorld::step);
        EXPECT_EQ(world.routers[0].lease->fencing(), 1U);
        EXPECT_TRUE(world.holders().empty());
        world.appendsToHold = 0;
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        EXPECT_EQ(world.routers[0].lease->fencing(), 1U)
            << "the lease term goes on, as no other router claimed in between";
    }

    // No router reaches the log for a minute. A holder that extended its lease without the log would issue orders
    // although it can't know whether it still holds the lease. A router that waited without limit for a lost answer
    // would never claim again after the outage.
    TEST(OrderLeaseTest, LogOutageEndsAllOrdersAndAHolderReturnsAfterwards)
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

    // An engine answers 409 with a higher fencing number before the holder reads the new holder's claim from the log.
    // The holder has to stop issuing orders at once, without waiting for the log.
    TEST(OrderLeaseTest, StaleAnswerEndsTheLeaseTermAndTheNextHasAHigherFencingNumber)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.run(seconds(10));
        OrderLease& lease = *world.routers[0].lease;
        const std::uint64_t fencing = lease.fencing();
        lease.onStale(fencing);
        EXPECT_TRUE(lease.mayIssueOrders(world.now)) << "the own fencing number must not end the lease term";
        lease.onStale(fencing + 1);
        EXPECT_FALSE(lease.mayIssueOrders(world.now));
        world.run(seconds(7));
        EXPECT_TRUE(world.holders().empty());
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        EXPECT_GT(lease.fencing(), fencing + 1);
    }

    // A renewal reaches the log only after most of the lease time. By then the other routers' wait, counted from the
    // claim before, may have let one of them claim. If the lease counted from when the renewal was read, two routers
    // would issue orders for some seconds.
    TEST(OrderLeaseTest, LateRenewalExtendsTheLeaseFromWhenItWasSent)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.appendsToHold = 100;
        ASSERT_TRUE(world.runUntil([&] { return world.heldClaims.size() == 1; }));
        const Instant sent = world.now;
        world.run(seconds(5));
        world.append(world.heldClaims.front());
        world.run(LeaseWorld::step);
        EXPECT_EQ(world.routers[0].lease->until(), sent + LeaseSettings {}.leaseTime);
    }

    // After the log dropped old records, a new router could take a claim that lost for the winner, as it lacks the
    // records that the claim was based on. In the history `raced`, a's renewal at offset 3 names the same record as b's
    // claim at offset 2 and loses to that claim. In the history `blind`, a reader without the first records can't
    // decide about a's renewal at offset 3, and c's claim at offset 4, which names the record before that renewal,
    // loses.
    TEST(OrderLeaseTest, ReaderWithoutTheFirstRecordsComputesTheSameLeaseTerm)
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

    // A failure domain was cut off for longer than the log keeps records. All claims have expired, and a new router
    // reads an empty stream that does not begin at 0. If a claim had to name a record that can still be read, no router
    // could issue orders in this failure domain again.
    TEST(OrderLeaseTest, LeaseIsClaimedAfterTheWholeWaitWhenAllRecordsHaveExpired)
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

    // A newer release appends a record of a later rules version. If a router of an older release skipped that record,
    // it would issue orders by rules that no longer hold.
    TEST(OrderLeaseTest, RecordOfLaterRulesEndsTheRoutersOrders)
    {
        LeaseWorld world(1);
        ASSERT_TRUE(world.runUntil([&] { return !world.holders().empty(); }));
        world.routers[0].lease->onRecord(Offset { world.log.size() }, LaterRules {}, world.now);
        EXPECT_TRUE(world.holders().empty());
        EXPECT_FALSE(world.routers[0].lease->due(true, world.now + seconds(30)));
    }

    TEST(OrderLeaseTest, EncodedRecordsDecodeToTheSameValues)
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
