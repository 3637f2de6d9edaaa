#include "swiftlift/ledger/Outbox.h"

#include <limits>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ledger {

class OutboxTest : public testing::Test {
protected:
    static constexpr Incarnation self { 5 };
    static constexpr Instant start { std::chrono::seconds { 1 } };

    void add(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            outbox.add(Claim { RequestKey { 0, i } });
    }

    void addBills(std::size_t count)
    {
        constexpr std::uint64_t manyBits = 0xFEDC'BA98'7654'3210U;
        for (std::size_t i = 0; i < count; ++i)
            outbox.add(Bill { RequestKey { manyBits, i }, GrantId { self, 1 }, Tokens { 10'000 } });
    }

    Outbox outbox { self };
};

TEST_F(OutboxTest, NumbersItemsFromOneAndLimitsABatchsBytes)
{
    EXPECT_EQ(outbox.next(start), std::nullopt);
    constexpr std::size_t billCount = Outbox::maxBatchBytes / 64;
    addBills(billCount);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.front().sequence, 1U);
    EXPECT_EQ(batch->items.front().origin, self);
    EXPECT_LT(batch->items.size(), billCount);
    EXPECT_LE(encode(*batch).size(), Outbox::maxBatchBytes);
    EXPECT_EQ(outbox.pending(), billCount);
}

TEST_F(OutboxTest, NoEncodedItemIsLargerThanItsBound)
{
    constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
    constexpr std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();
    const GrantId grant { Incarnation { ~0ULL }, highest };
    const std::string longName(maxNameBytes, 'a');
    const BudgetRef budget { AccountId { longName }, BudgetId { longName } };
    const std::vector<Entry> entries { Bill { { ~0ULL, ~0ULL }, grant, Tokens { largest } },
        Draw { grant, budget, Tokens { largest }, Tokens { largest }, Incarnation { ~0ULL } },
        Fund { budget, Tokens { largest } }, OpenAccount { AccountId { longName }, std::string(maxKeyHashBytes, 'f') },
        ChangeWitness { grant, Incarnation { ~0ULL }, Tokens { largest } },
        Checkpoint { Offset { ~0ULL }, std::string(1000, 's') } };
    for (const Entry& entry : entries) {
        const Item item { Incarnation { ~0ULL }, ~0ULL, entry };
        EXPECT_LE(encode(Batch { rulesVersion, { item } }).size(), Outbox::maxEncodedBytes(item)) << kindOf(entry);
    }
}

// The log is unreachable for 8 s while 190 requests a second end, and a draw is queued behind their bills. With batches
// of 256 items, each read back before the next, the draw was part of the seventh append only, and requests were refused
// for seconds after the outage although the budget had available tokens.
TEST_F(OutboxTest, ADrawIsInTheSameBatchAsTheBillsOfAnOutage)
{
    addBills(8 * 180);
    const Entry draw = Draw { GrantId { self, 1 }, {}, Tokens { 10 }, Tokens { 1 }, {} };
    outbox.add(draw);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.back().entry, draw);
}

// Appends fail for a while, with a retry delay that doubles each time, and then the log answers a read. If the outbox
// were not notified, the router would append nothing for up to 2 s and refuse requests for lack of a draw.
TEST_F(OutboxTest, RetriesAFailedAppendAtOnceWhenTheLogIsReachableAgain)
{
    add(1);
    Instant now = start;
    for (int tries = 0; tries < 5; ++tries) {
        ASSERT_TRUE(outbox.next(now));
        outbox.onFailure(now);
        now = *outbox.wakeAt();
    }
    ASSERT_TRUE(outbox.next(now));
    outbox.onFailure(now);
    EXPECT_FALSE(outbox.next(now + Duration { 1 }));
    outbox.onReachable(now + Duration { 1 });
    EXPECT_TRUE(outbox.next(now + Duration { 1 }));
}

// An append is answered, a read fails, and the log answers again. If the answered append were taken for a failed one, a
// batch that has landed would be appended again after each failed read.
TEST_F(OutboxTest, DoesNotRetryAnAnsweredAppendAtOnce)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    outbox.onAnswered(start);
    outbox.onReachable(start);
    EXPECT_FALSE(outbox.next(start + Outbox::initialRetryDelay));
}

// An append lands, but its response is lost. If the author changed the batch before the retry, an entry could count
// under another sequence than the author assumes, and a bill would be lost.
TEST_F(OutboxTest, RetriesTheIdenticalBatchAfterAFailure)
{
    add(2);
    const std::optional<Batch> first = outbox.next(start);
    outbox.onFailure(start);
    add(1);
    EXPECT_EQ(outbox.next(start + Outbox::initialRetryDelay - Duration { 1 }), std::nullopt);
    EXPECT_EQ(outbox.next(start + Outbox::initialRetryDelay), first);
}

TEST_F(OutboxTest, KeepsAllItemsOfABatchUntilTheLastItemLanded)
{
    add(2);
    const std::optional<Batch> batch = outbox.next(start);
    outbox.onLanded(Landed { self, 1 }, start);
    EXPECT_EQ(outbox.pending(), 1U);
    EXPECT_EQ(outbox.next(start + Outbox::maxRetryDelay), batch);
    outbox.onLanded(Landed { self, 2 }, start);
    EXPECT_TRUE(outbox.empty());
    EXPECT_EQ(outbox.next(start + Outbox::maxRetryDelay * 2), std::nullopt);
    EXPECT_EQ(outbox.wakeAt(), std::nullopt);
}

TEST_F(OutboxTest, DoublesTheRetryDelayUpToTheMaximum)
{
    add(1);
    Instant now = start;
    for (Duration wait = Outbox::initialRetryDelay; now < start + std::chrono::seconds { 20 };
         wait = std::min(wait * 2, Outbox::maxRetryDelay)) {
        EXPECT_TRUE(outbox.next(now));
        EXPECT_EQ(outbox.wakeAt(), now + wait);
        now = *outbox.wakeAt();
    }
    EXPECT_LE(*outbox.wakeAt() - now, Outbox::maxRetryDelay);
}

TEST_F(OutboxTest, WaitsTheMaximumDelayForAnAnsweredAppendToBeReadBack)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    outbox.onAnswered(start);
    EXPECT_EQ(outbox.wakeAt(), start + Outbox::maxRetryDelay);
}

// A record contains an item of another author, or a sequence that this outbox has not assigned. If such an item counted
// as landed, a queued entry would be dropped without being appended.
TEST_F(OutboxTest, IgnoresLandedItemsThatItHasNotAdded)
{
    add(2);
    ASSERT_TRUE(outbox.next(start));
    outbox.onLanded(Landed { self, 3 }, start);
    outbox.onLanded(Landed { Incarnation { 6 }, 1 }, start);
    EXPECT_EQ(outbox.pending(), 2U);
    outbox.onLanded(Landed { self, 1 }, start);
    outbox.onLanded(Landed { self, 1 }, start);
    EXPECT_EQ(outbox.pending(), 1U);
}

// The author is paused. Its witness assumes that the author has failed and appends its copies, which include items that
// are still queued here. The author resumes. If only items of the batch in flight counted as landed, the author would
// repeat the next batch for ever, because the fold yields no effect for a repeated item.
TEST_F(OutboxTest, DropsQueuedItemsThatAPeerHasAppended)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    add(2);
    outbox.onLanded(Landed { self, 2 }, start);
    EXPECT_EQ(outbox.pending(), 1U);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.front().sequence, 3U);
}

TEST_F(OutboxTest, CopiesOnlyItemsThatHaveNotLanded)
{
    add(2);
    ASSERT_TRUE(outbox.next(start));
    add(1);
    outbox.onLanded(Landed { self, 1 }, start);
    EXPECT_EQ(outbox.copyAfter(0).items.size(), 2U);
    EXPECT_EQ(outbox.copyAfter(2).items.front().sequence, 3U);
}

} // namespace swiftlift::ledger
