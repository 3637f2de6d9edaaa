#include <gtest/gtest.h>

#include "engine/Answer.h"
#include "engine/Batch.h"

namespace swiftlift::standins {

namespace {

    class BatchTest : public testing::Test {
    protected:
        std::shared_ptr<Sequence> makeSequence(const std::string& prompt, std::uint64_t tokens, unsigned priority = 1)
        {
            auto sequence = std::make_shared<Sequence>();
            sequence->prompt = prompt;
            sequence->priority = priority;
            sequence->promptTokens = promptTokenCount(prompt);
            sequence->answerTokens = tokens;
            sequence->record = &record_;
            return sequence;
        }

        void step()
        {
            static_cast<void>(batch_.beginStep());
            batch_.endStep();
        }

        EngineSettings settings_ { .prefillChunk = 8, .maxBatch = 1, .maxWaiting = 3, .cacheTokens = 20 };
        CacheEvents events_ { Milliseconds(0), 0, 1 };
        Batch batch_ { settings_, events_ };
        KeyRecord record_;
    };

    TEST_F(BatchTest, admitByPriorityThenArrival)
    {
        const auto batch = makeSequence("a", 1, 2);
        const auto normal = makeSequence("b", 1, 1);
        const auto interactive = makeSequence("c", 1, 0);
        for (const auto& sequence : { batch, normal, interactive }) {
            ASSERT_TRUE(batch_.add(sequence));
        }
        EXPECT_FALSE(batch_.add(makeSequence("d", 1)));
        step();
        EXPECT_TRUE(interactive->isComplete());
        EXPECT_FALSE(normal->isComplete());
        step();
        EXPECT_TRUE(normal->isComplete());
        EXPECT_FALSE(batch->isComplete());
    }

    TEST_F(BatchTest, joinBetweenSteps)
    {
        settings_.maxBatch = 2;
        const auto first = makeSequence("a", 3);
        const auto second = makeSequence("b", 1);
        ASSERT_TRUE(batch_.add(first));
        step();
        ASSERT_TRUE(batch_.add(second));
        step();
        EXPECT_TRUE(second->isComplete());
        EXPECT_EQ(first->computed, 2U);
    }

    TEST_F(BatchTest, computeUncachedPromptOnly)
    {
        const std::string prompt(40, 'p');
        const auto cold = makeSequence(prompt, 1);
        ASSERT_TRUE(batch_.add(cold));
        step();
        EXPECT_EQ(cold->computed, 0U) << "the prompt takes two chunks";
        step();
        EXPECT_TRUE(cold->isComplete());
        const auto warm = makeSequence(prompt, 1);
        ASSERT_TRUE(batch_.add(warm));
        step();
        EXPECT_EQ(warm->cachedTokens, 10U);
        EXPECT_TRUE(warm->isComplete());
    }

    TEST_F(BatchTest, evictLeastRecentlyUsed)
    {
        settings_.prefillChunk = 100;
        for (const char name : { 'a', 'b', 'c' }) {
            ASSERT_TRUE(batch_.add(makeSequence(std::string(32, name), 1)));
            step();
        }
        const auto events = events_.read(0).at("events");
        ASSERT_EQ(events.size(), 4U);
        EXPECT_EQ(events.at(2).at("kind"), "evicted");
        EXPECT_EQ(events.at(2).at("prefix"), events.at(0).at("prefix"));
    }

    TEST_F(BatchTest, makeRoomWhenRemoved)
    {
        const auto running = makeSequence("a", 100);
        const auto waiting = makeSequence("b", 1);
        ASSERT_TRUE(batch_.add(running));
        step();
        ASSERT_TRUE(batch_.add(waiting));
        batch_.remove(running);
        step();
        EXPECT_TRUE(waiting->isComplete());
        EXPECT_TRUE(batch_.isIdle());
    }

} // namespace

} // namespace swiftlift::standins
