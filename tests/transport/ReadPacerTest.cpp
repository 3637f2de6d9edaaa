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

    // Symptom: a VM with a tenth of a core falls behind with 40 streams, though it could write what it has to.
    // Events: an event of each stream comes every 20 ms, each with a wake-up of its own.
    // Cause: each stream was read by itself.
    TEST(ReadPacerTest, ReadsAllInOneRound)
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

    TEST(ReadPacerTest, StartsAnotherRoundForWhoComesDuringOne)
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

    TEST(ReadPacerTest, PassesOverWhoHasEnded)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 1ms);
        const auto stays = std::make_shared<CountingReader>();
        pacer.later(std::make_shared<CountingReader>());
        pacer.later(stays);
        loop.run();
        EXPECT_EQ(stays->reads, 1);
    }

    TEST(ReadPacerTest, ReadsAtOnceWithoutAnInterval)
    {
        boost::asio::io_context loop;
        ReadPacer pacer(loop, 0ms);
        const auto reader = std::make_shared<CountingReader>();
        pacer.later(reader);
        EXPECT_EQ(reader->reads, 1);
    }

} // namespace
} // namespace swiftlift::transport::internal
