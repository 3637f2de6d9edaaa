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

TEST_F(OutboxTest, NumbersItemsFromOneAndBoundsABatch)
{
    EXPECT_EQ(outbox.next(start), std::nullopt);
    constexpr std::size_t more = Outbox::maxBatchBytes / 64;
    addBills(more);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.front().sequence, 1U);
    EXPECT_EQ(batch->items.front().origin, self);
    EXPECT_LT(batch->items.size(), more);
    EXPECT_LE(encode(*batch).size(), Outbox::maxBatchBytes);
    EXPECT_EQ(outbox.pending(), more);
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
        EXPECT_LE(encode(Batch { rulesVersion, { item } }).size(), Outbox::sizeBound(item)) << kindOf(entry);
    }
}

// Symptom: for seconds after an outage callers are refused for money that nobody has drawn.
// Events: the log is out of reach for 8 s; 190 requests a second end meanwhile; a draw is emitted behind their bills.
// Cause: a batch took 256 items and had to be read back before the next, so the draw was the seventh append.
TEST_F(OutboxTest, ADrawGoesOutWithTheBillsOfAnOutage)
{
    addBills(8 * 180);
    const Entry draw = Draw { GrantId { self, 1 }, {}, Tokens { 10 }, Tokens { 1 }, {} };
    outbox.add(draw);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.back().entry, draw);
}

// Symptom: for up to 2 s after the log is back a router appends nothing, and refuses for what it has not drawn.
// Events: appends fail for a while, each waits twice as long as the one before; the log answers a read.
// Cause: nobody told the outbox.
TEST_F(OutboxTest, AppendsAtOnceWhenTheLogAnswersAgain)
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

// Symptom: a batch that has landed is appended a second time whenever the log's reader hiccups.
// Events: an append is answered, a read fails, the log answers again.
// Cause: an answered append was taken for a failed one.
TEST_F(OutboxTest, AnAnsweredAppendIsNotHastened)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    outbox.onAnswered(start);
    outbox.onReachable(start);
    EXPECT_FALSE(outbox.next(start + Outbox::firstRetry));
}

// Symptom: an entry counts under another sequence than its author believes, and a bill is lost.
// Sequence: an append lands but its answer is lost; the author adds an entry to the batch and appends it again.
// Cause: the batch in flight was changed, though it may have landed.
TEST_F(OutboxTest, RepeatsTheVerySameBatchAfterAFailure)
{
    add(2);
    const std::optional<Batch> first = outbox.next(start);
    outbox.onFailure(start);
    add(1);
    EXPECT_EQ(outbox.next(start + Outbox::firstRetry - Duration { 1 }), std::nullopt);
    EXPECT_EQ(outbox.next(start + Outbox::firstRetry), first);
}

TEST_F(OutboxTest, KeepsTheBatchWholeUntilItsLastItemLanded)
{
    add(2);
    const std::optional<Batch> batch = outbox.next(start);
    outbox.onLanded(Landed { self, 1 }, start);
    EXPECT_EQ(outbox.pending(), 1U);
    EXPECT_EQ(outbox.next(start + Outbox::longestRetry), batch);
    outbox.onLanded(Landed { self, 2 }, start);
    EXPECT_TRUE(outbox.empty());
    EXPECT_EQ(outbox.next(start + Outbox::longestRetry * 2), std::nullopt);
    EXPECT_EQ(outbox.wakeAt(), std::nullopt);
}

TEST_F(OutboxTest, WaitsTwiceAsLongEachTimeUpToALimit)
{
    add(1);
    Instant now = start;
    for (Duration wait = Outbox::firstRetry; now < start + std::chrono::seconds { 20 };
         wait = std::min(wait * 2, Outbox::longestRetry)) {
        EXPECT_TRUE(outbox.next(now));
        EXPECT_EQ(outbox.wakeAt(), now + wait);
        now = *outbox.wakeAt();
    }
    EXPECT_LE(*outbox.wakeAt() - now, Outbox::longestRetry);
}

TEST_F(OutboxTest, AnAnsweredAppendIsGivenTimeToBeReadBack)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    outbox.onAnswered(start);
    EXPECT_EQ(outbox.wakeAt(), start + Outbox::longestRetry);
}

// Symptom: an entry vanishes without ever being appended.
// Sequence: a record carries another author's name, or a sequence that this author has not given out.
// Cause: any landed sequence was taken as the author's own.
TEST_F(OutboxTest, IgnoresWhatItNeverGaveOut)
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

// Symptom: an author repeats a batch for ever and never sends what comes behind it.
// Sequence: the author is paused; its witness takes it for dead and appends the copies it keeps, among them items that
// still waited here; the author wakes up.
// Cause: only items of the batch in flight were taken as landed, and the fold says nothing of a repeat.
TEST_F(OutboxTest, DropsWaitingItemsThatAPeerHasAppended)
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

TEST_F(OutboxTest, CopiesWhatHasNotLanded)
{
    add(2);
    ASSERT_TRUE(outbox.next(start));
    add(1);
    outbox.onLanded(Landed { self, 1 }, start);
    EXPECT_EQ(outbox.copyAfter(0).items.size(), 2U);
    EXPECT_EQ(outbox.copyAfter(2).items.front().sequence, 3U);
}

} // namespace swiftlift::ledger
