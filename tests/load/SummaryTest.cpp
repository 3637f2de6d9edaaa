#include "load/Summary.h"

#include <sstream>
#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "load/Report.h"

namespace swiftlift::load {
namespace {

    using namespace std::chrono_literals;

    [[nodiscard]] Result makeResult(
        std::uint64_t pair, bool direct, ResultKind kind, std::chrono::milliseconds firstToken)
    {
        Result result;
        result.arrival.pair = pair;
        result.arrival.direct = direct;
        result.kind = kind;
        result.reason = kind == ResultKind::Answered ? "" : "because";
        result.firstToken = firstToken;
        result.whole = firstToken + 20ms;
        result.gaps = { 10ms, 10ms };
        result.tokens = 3;
        return result;
    }

    TEST(Summary, ComputesDifferencesOfAnsweredPairsOnly)
    {
        const Summary summary = summarise(
            { makeResult(1, false, ResultKind::Answered, 30ms), makeResult(1, true, ResultKind::Answered, 28ms),
                makeResult(2, false, ResultKind::Answered, 90ms), makeResult(2, true, ResultKind::Refused, 0ms),
                makeResult(3, false, ResultKind::Unknown, 40ms), makeResult(3, true, ResultKind::Answered, 40ms) });
        EXPECT_EQ(summary.added.pairs, 1U);
        EXPECT_DOUBLE_EQ(summary.added.firstToken.p50, 2);
        EXPECT_DOUBLE_EQ(summary.added.betweenTokens.p50, 0);
        EXPECT_EQ(summary.routed.answered, 2U);
        EXPECT_EQ(summary.routed.unknown.at("because"), 1U);
        EXPECT_EQ(summary.direct.refused.at("because"), 1U);
    }

    TEST(Summary, ExcludesErrorsAndWarmUpFromAnswers)
    {
        Result early = makeResult(1, false, ResultKind::Answered, 30ms);
        early.arrival.counted = false;
        const Summary summary = summarise({ early, makeResult(2, false, ResultKind::Error, 500ms) });
        EXPECT_EQ(summary.routed.sent, 1U);
        EXPECT_EQ(summary.routed.answered, 0U);
        EXPECT_EQ(summary.routed.errors.at("because"), 1U);
        EXPECT_EQ(summary.routed.firstToken.count, 0U);
        EXPECT_EQ(summary.routed.tokens, 0U);
    }

    TEST(Summary, ReadsUsageOfTheTestProcess)
    {
        const auto readings = readProcesses({ getpid() });
        ASSERT_TRUE(readings[0].found);
        EXPECT_GT(readings[0].residentBytes, 1e6);
        EXPECT_GE(readings[0].peakBytes, readings[0].residentBytes);
        EXPECT_GE(readings[0].threads, 1);
        EXPECT_FALSE(readProcess(-1).found);
    }

    TEST(Report, WritesTheSameFiguresAsTableAndJson)
    {
        Options options;
        const Summary summary = summarise(
            { makeResult(1, false, ResultKind::Answered, 30ms), makeResult(1, true, ResultKind::Answered, 28ms) });
        std::ostringstream table;
        writeTable(table, summary);
        EXPECT_NE(table.str().find("routed: sent 1, answered 1"), std::string::npos);
        const auto json = nlohmann::json::parse(toJson(options, summary));
        EXPECT_EQ(json.at("routed").at("answered"), 1);
        EXPECT_DOUBLE_EQ(json.at("added").at("first_token").at("p50_ms").get<double>(), 2);
    }

} // namespace
} // namespace swiftlift::load
