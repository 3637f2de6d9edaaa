#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "swiftlift/ring/Outbox.h"

namespace swiftlift::ring {

TEST(BoundedRing, RefusesPushesBeyondCapacityOrIntoReservedSlots)
{
    BoundedRing<int> ring(4);
    EXPECT_TRUE(ring.tryPush(1, 2));
    EXPECT_TRUE(ring.tryPush(2, 2));
    EXPECT_FALSE(ring.tryPush(3, 2));
    EXPECT_TRUE(ring.tryPush(3));
    EXPECT_TRUE(ring.tryPush(4));
    EXPECT_FALSE(ring.tryPush(5));
    EXPECT_EQ(ring.tryPop(), 1);
    EXPECT_TRUE(ring.tryPush(5));
}

TEST(BoundedRing, LeavesARefusedValueUnchanged)
{
    BoundedRing<std::string> ring(1);
    EXPECT_TRUE(ring.tryPush("first"));
    std::string second = "second";
    EXPECT_FALSE(ring.tryPush(second));
    EXPECT_EQ(second, "second");
}

// Guards against a configuration that is handled behind hundreds of requests.
TEST(Inbox, UrgentValuesOvertakeAllOthers)
{
    Inbox<int> inbox(4, 1);
    int first = 1;
    int second = 2;
    EXPECT_TRUE(inbox.tryPush(0));
    EXPECT_TRUE(inbox.tryPushUrgent(first));
    EXPECT_FALSE(inbox.tryPushUrgent(second));
    EXPECT_EQ(inbox.size(), 2U);
    EXPECT_EQ(inbox.tryPop(), 1);
    EXPECT_EQ(inbox.tryPop(), 0);
    EXPECT_EQ(inbox.tryPop(), std::nullopt);
}

// Guards against a reader that sleeps while its inbox holds a value. This would happen if a push between the reader's
// last tryPop() and its clearing of the signal left no signal behind.
TEST(Inbox, EveryPushWakesTheReader)
{
    constexpr int writerCount = 4;
    constexpr int pushesPerWriter = 20'000;
    Inbox<int> inbox(1024);
    std::vector<std::jthread> threads;
    for (int writer = 0; writer < writerCount; ++writer) {
        threads.emplace_back([&inbox] {
            for (int count = 0; count < pushesPerWriter; ++count) {
                while (!inbox.tryPush(1)) {
                    std::this_thread::yield();
                }
            }
        });
    }
    int received = 0;
    while (received < writerCount * pushesPerWriter) {
        ASSERT_TRUE(inbox.wakeup().waitFor(std::chrono::seconds(30)));
        inbox.wakeup().consume();
        while (inbox.tryPop()) {
            ++received;
        }
    }
}

TEST(Outbox, QueuesValuesInOrderWhileTheInboxIsFull)
{
    Inbox<int> inbox(2);
    Outbox<int> outbox(inbox);
    for (int number = 1; number <= 4; ++number) {
        outbox.push(std::move(number));
    }
    EXPECT_EQ(outbox.waiting(), 2U);
    std::vector<int> received;
    while (const auto number = inbox.tryPop()) {
        received.push_back(*number);
        outbox.flush();
    }
    EXPECT_EQ(received, (std::vector { 1, 2, 3, 4 }));
    EXPECT_EQ(outbox.waiting(), 0U);
}

} // namespace swiftlift::ring
