#include "routing/MemoryNeed.h"

#include <random>

#include <gtest/gtest.h>

namespace swiftlift::routing::internal {
namespace {

    constexpr int samples = 500;

    TEST(MemoryNeed, NothingIsKnownBeforeARequest)
    {
        EXPECT_EQ(MemoryNeed().requestsIn(Tokens { 1000 }), std::nullopt);
    }

    TEST(MemoryNeed, EqualRequestsFillTheMemory)
    {
        MemoryNeed need;
        need.add(Tokens { 1000 });
        EXPECT_EQ(need.requestsIn(Tokens { 16'000 }), 16U);
        EXPECT_EQ(need.requestsIn(Tokens { 100 }), 1U) << "a server gets one request at least";
    }

    // Guards against an engine whose memory is too small for requests that happen to be large together.
    TEST(MemoryNeed, RequestsOfDifferentSizesFitInTogether)
    {
        constexpr std::int64_t memory = 192'000;
        std::mt19937_64 random(1);
        std::uniform_int_distribution<std::int64_t> sizes(6'000, 18'000);
        MemoryNeed need;
        for (int sample = 0; sample < samples; ++sample) {
            need.add(Tokens { sizes(random) });
        }
        const std::uint32_t count = need.requestsIn(Tokens { memory }).value();
        EXPECT_GE(count, 11U);
        for (int trial = 0; trial < samples; ++trial) {
            std::int64_t sum = 0;
            for (std::uint32_t request = 0; request < count; ++request) {
                sum += sizes(random);
            }
            EXPECT_LE(sum, memory);
        }
    }

} // namespace
} // namespace swiftlift::routing::internal
