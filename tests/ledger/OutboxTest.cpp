#include "swiftlift/ledger/Outbox.h"

#include <gtest/gtest.h>

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

    Outbox outbox { self };
};

TEST_F(OutboxTest, NumbersItemsFromOneAndBoundsABatch)
{
    EXPECT_EQ(outbox.next(start), std::nullopt);
    add(Outbox::maxBatchItems + 1);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.size(), Outbox::maxBatchItems);
    EXPECT_EQ(batch->items.front().sequence, 1U);
    EXPECT_EQ(batch->items.front().origin, self);
    EXPECT_EQ(outbox.pending(), Outbox::maxBatchItems + 1);
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
// Sequence: a record carries this author's name with a sequence that it has not sent yet, or another's name.
// Cause: any landed sequence was taken as the author's own.
TEST_F(OutboxTest, IgnoresWhatItNeverSent)
{
    add(1);
    ASSERT_TRUE(outbox.next(start));
    add(1);
    outbox.onLanded(Landed { self, 2 }, start);
    outbox.onLanded(Landed { Incarnation { 6 }, 1 }, start);
    EXPECT_EQ(outbox.pending(), 2U);
    outbox.onLanded(Landed { self, 1 }, start);
    outbox.onLanded(Landed { self, 1 }, start);
    const std::optional<Batch> batch = outbox.next(start);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->items.front().sequence, 2U);
}

} // namespace swiftlift::ledger
