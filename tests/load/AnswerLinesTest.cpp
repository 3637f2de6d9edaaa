#include "load/AnswerLines.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::load {
namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;

    [[nodiscard]] Result readAnswer(const std::vector<std::string>& chunks, int status = statusOk)
    {
        Result result;
        const std::chrono::steady_clock::time_point start { 1s };
        AnswerLines parser(result, start);
        auto now = start;
        for (const auto& chunk : chunks) {
            now += 10ms;
            parser.consume(chunk, now);
        }
        parser.finish(status);
        return result;
    }

    TEST(AnswerLines, RecordsTokenTimesOfARouterStream)
    {
        const Result result = readAnswer({ "{\"token\":\"a\",\"index\":0}\n{\"token\":\"b\",", "\"index\":1}\n",
            "{\"outcome\":\"answered\",\"request\":\"r\",\"prompt_tokens\":5,\"answer_tokens\":2,\"billed_tokens\":7}"
            "\n" });
        EXPECT_EQ(result.kind, ResultKind::Answered);
        EXPECT_EQ(result.tokens, 2U);
        EXPECT_EQ(result.firstToken, 10ms);
        EXPECT_EQ(result.gaps, (std::vector<std::chrono::microseconds> { 10ms }));
    }

    TEST(AnswerLines, ReadsAnEnginesStream)
    {
        const Result result = readAnswer({ "{\"key\":\"0\",\"attempt\":\"x\",\"index\":0,\"token\":\"a\"}\n"
                                           "{\"key\":\"0\",\"attempt\":\"x\",\"done\":true,\"prompt_tokens\":5,"
                                           "\"answer_tokens\":1,\"cached_prompt_tokens\":0}\n" });
        EXPECT_EQ(result.kind, ResultKind::Answered);
    }

    TEST(AnswerLines, ReadsAWholeAnswerWithoutStream)
    {
        const Result result
            = readAnswer({ "{\"outcome\":\"answered\",\"text\":\"abc\",\"prompt_tokens\":5,\"answer_tokens\":3}" });
        EXPECT_EQ(result.kind, ResultKind::Answered);
        EXPECT_EQ(result.tokens, 3U);
        EXPECT_EQ(result.firstToken, 0ms);
    }

    TEST(AnswerLines, DistinguishesRefusedFromUnknown)
    {
        const Result refused
            = readAnswer({ "{\"outcome\":\"refused\",\"run\":\"not_run\",\"reason\":\"budget_exhausted\"}" }, 402);
        EXPECT_EQ(refused.kind, ResultKind::Refused);
        EXPECT_EQ(refused.reason, "budget_exhausted");
        const Result unknown = readAnswer(
            { "{\"token\":\"a\",\"index\":0}\n", "{\"outcome\":\"unknown\",\"reason\":\"backend_lost\"}\n" });
        EXPECT_EQ(unknown.kind, ResultKind::Unknown);
        const Result full = readAnswer({ "{\"error\":\"full\"}" }, 429);
        EXPECT_EQ(full.kind, ResultKind::Refused);
        EXPECT_EQ(full.reason, "full");
    }

    // Guards against counting every response with status 200 as an answer. An answer is incomplete if a token is
    // missing or repeated, or if the stream ends without a final line.
    TEST(AnswerLines, ReportsIncompleteAnswersAsErrors)
    {
        const std::string last = "{\"outcome\":\"answered\",\"answer_tokens\":2}\n";
        const std::string first = "{\"token\":\"a\",\"index\":0}\n";
        const std::string second = "{\"token\":\"b\",\"index\":1}\n";
        EXPECT_EQ(readAnswer({ first, second, last }).kind, ResultKind::Answered);
        EXPECT_EQ(readAnswer({ first, last }).reason, "tokens_missing");
        EXPECT_EQ(readAnswer({ second, last }).reason, "token_out_of_order");
        EXPECT_EQ(readAnswer({ first, first, last }).reason, "token_out_of_order");
        EXPECT_EQ(readAnswer({ first, second }).reason, "broken_off");
        EXPECT_EQ(readAnswer({ "not json\n", last }).reason, "no_json");
        EXPECT_EQ(readAnswer({ "{\"hello\":1}\n" }).reason, "no_outcome");
        EXPECT_EQ(readAnswer({}, 500).reason, "status_500");
    }

} // namespace
} // namespace swiftlift::load
