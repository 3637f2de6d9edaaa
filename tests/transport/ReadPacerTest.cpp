#include "transport/ReadPacer.h"

#include <gtest/gtest.h>

namespace swiftlift::transport::internal {
namespace {

    using namespace std::chrono_literals;

    class CountingReader final : public PacedReader {
    public:
        void readNow() override { ++reads; }
        int reads = 0;
    };

    // Guards against a VM with a tenth of a core that falls behind with 40 streams although it could forward their
    // data. Each stream has an event every 20 ms, and each event cost a wake-up because each stream was read
    // separately.
    TEST(ReadPacerTest, ReadsAllStreamsInOneBatch)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 20ms);
        const auto first = std::make_shared<CountingReader>();
        const auto second = std::make_shared<CountingReader>();
        pacer.later(first);
        pacer.later(second);
        EXPECT_EQ(first->reads + second->reads, 0);
        const std::size_t wakeUps = loop.run();
        EXPECT_EQ(wakeUps, 1U);
        EXPECT_EQ(first->reads, 1);
        EXPECT_EQ(second->reads, 1);
    }

    TEST(ReadPacerTest, StartsAnotherBatchForALaterRead)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 1ms);
        const auto reader = std::make_shared<CountingReader>();
        pacer.later(reader);
        loop.run();
        pacer.later(reader);
        loop.restart();
        loop.run();
        EXPECT_EQ(reader->reads, 2);
    }

    TEST(ReadPacerTest, SkipsADestroyedReader)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 1ms);
        const auto stays = std::make_shared<CountingReader>();
        pacer.later(std::make_shared<CountingReader>());
        pacer.later(stays);
        loop.run();
        EXPECT_EQ(stays->reads, 1);
    }

    TEST(ReadPacerTest, ReadsAtOnceIfTheIntervalIsZero)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 0ms);
        const auto reader = std::make_shared<CountingReader>();
        pacer.later(reader);
        EXPECT_EQ(reader->reads, 1);
    }

} // namespace
} // namespace swiftlift::transport::internal
