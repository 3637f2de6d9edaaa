#include "load/Schedule.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::load {
namespace {

    [[nodiscard]] Options sampleOptions()
    {
        Options options;
        options.routers = { { "127.0.0.1", 8000 }, { "127.0.0.2", 8000 } };
        options.engines = { { "127.0.0.3", 9000 } };
        options.accounts = { { "club", "key" } };
        options.service = "plans";
        options.rate = 50;
        options.duration = std::chrono::seconds(20);
        options.minPromptTokens = 10;
        options.maxPromptTokens = 300;
        options.sharedPrefixShare = 0.5;
        options.nonIdempotentShare = 0.2;
        return options;
    }

    TEST(Schedule, IsTheSameForTheSameSeed)
    {
        Options options = sampleOptions();
        const auto one = makeSchedule(options);
        const auto same = makeSchedule(options);
        options.seed = 2;
        const auto other = makeSchedule(options);
        ASSERT_EQ(one.size(), same.size());
        for (std::size_t index = 0; index < one.size(); ++index) {
            EXPECT_EQ(one[index].due, same[index].due);
            EXPECT_EQ(one[index].promptTokens, same[index].promptTokens);
        }
        EXPECT_NE(one.front().due, other.front().due);
    }

    TEST(Schedule, MatchesTheRateAndIsSortedByTime)
    {
        const auto schedule = makeSchedule(sampleOptions());
        // 1,000 pairs of requests are expected; the tolerance is five standard deviations.
        EXPECT_NEAR(static_cast<double>(schedule.size()), 2000, 2 * 160);
        for (std::size_t index = 1; index < schedule.size(); ++index) {
            EXPECT_LE(schedule[index - 1].due, schedule[index].due);
        }
    }

    TEST(Schedule, PoisonArrivalsShareOnePrompt)
    {
        Options options = sampleOptions();
        options.poisonInterval = 10;
        std::set<std::string> prompts;
        std::size_t poisonCount = 0;
        for (const Arrival& arrival : makeSchedule(options)) {
            poisonCount += arrival.poison ? 1 : 0;
            if (arrival.poison) {
                prompts.insert(makePrompt(arrival, options.seed));
            }
        }
        EXPECT_GT(poisonCount, 100U);
        ASSERT_EQ(prompts.size(), 1U);
        EXPECT_TRUE(prompts.begin()->starts_with("poison"));
    }

    TEST(Schedule, PairsEachArrivalWithATwinOfTheSameSize)
    {
        std::map<std::uint64_t, std::vector<Arrival>> pairs;
        int directFirst = 0;
        for (const Arrival& arrival : makeSchedule(sampleOptions())) {
            pairs[arrival.pair].push_back(arrival);
        }
        for (const auto& [pair, arms] : pairs) {
            ASSERT_EQ(arms.size(), 2U);
            EXPECT_NE(arms[0].direct, arms[1].direct);
            EXPECT_EQ(arms[0].promptTokens, arms[1].promptTokens);
            EXPECT_EQ(arms[0].prefix, arms[1].prefix);
            EXPECT_EQ(makePrompt(arms[0], 1).size(), makePrompt(arms[1], 1).size());
            EXPECT_NE(makePrompt(arms[0], 1), makePrompt(arms[1], 1));
            directFirst += arms[0].direct ? 1 : 0;
        }
        const auto half = static_cast<int>(pairs.size() / 2);
        EXPECT_NEAR(directFirst, half, 80);
    }

    TEST(Schedule, WithoutEnginesHasOneArm)
    {
        Options options = sampleOptions();
        options.engines.clear();
        for (const Arrival& arrival : makeSchedule(options)) {
            EXPECT_FALSE(arrival.direct);
        }
    }

    TEST(Schedule, DoesNotCountTheWarmUp)
    {
        Options options = sampleOptions();
        options.warmUp = std::chrono::seconds(5);
        for (const Arrival& arrival : makeSchedule(options)) {
            if (arrival.due < options.warmUp) {
                EXPECT_FALSE(arrival.counted);
            }
        }
    }

    TEST(Prompt, HasFourBytesPerTokenAndStartsWithTheCommonPrefix)
    {
        Arrival first;
        first.pair = 1;
        first.promptTokens = 200;
        first.prefix = 3;
        Arrival second = first;
        second.pair = 2;
        const std::string one = makePrompt(first, 1);
        const std::string other = makePrompt(second, 1);
        constexpr std::size_t prefixBytesComparedByEngine = 256;
        EXPECT_EQ(one.size(), 800U);
        EXPECT_EQ(one.substr(0, prefixBytesComparedByEngine), other.substr(0, prefixBytesComparedByEngine));
        EXPECT_NE(one, other);
    }

} // namespace
} // namespace swiftlift::load
