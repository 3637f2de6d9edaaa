#include "load/AnswerLines.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::load {
namespace {

    using namespace std::chrono_literals;

    constexpr int statusOk = 200;

    [[nodiscard]] Result read(const std::vector<std::string>& chunks, int status = statusOk)
    {
        Result result;
        const std::chrono::steady_clock::time_point start { 1s };
        AnswerLines lines(result, start);
        auto now = start;
        for (const auto& chunk : chunks) {
            now += 10ms;
            lines.take(chunk, now);
        }
        lines.finish(status);
        return result;
    }

    TEST(AnswerLines, TimesTheTokensOfARoutersStream)
    {
        const Result result = read({ "{\"token\":\"a\",\"index\":0}\n{\"token\":\"b\",", "\"index\":1}\n",
            "{\"outcome\":\"answered\",\"request\":\"r\",\"prompt_tokens\":5,\"answer_tokens\":2,\"billed_tokens\":7}"
            "\n" });
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.tokens, 2U);
        EXPECT_EQ(result.firstToken, 10ms);
        EXPECT_EQ(result.gaps, (std::vector<std::chrono::microseconds> { 10ms }));
    }

    TEST(AnswerLines, ReadsAnEnginesStream)
    {
        const Result result = read({ "{\"key\":\"0\",\"attempt\":\"x\",\"index\":0,\"token\":\"a\"}\n"
                                     "{\"key\":\"0\",\"attempt\":\"x\",\"done\":true,\"prompt_tokens\":5,"
                                     "\"answer_tokens\":1,\"cached_prompt_tokens\":0}\n" });
        EXPECT_EQ(result.kind, Kind::Answered);
    }

    TEST(AnswerLines, ReadsAWholeAnswerWithoutStream)
    {
        const Result result
            = read({ "{\"outcome\":\"answered\",\"text\":\"abc\",\"prompt_tokens\":5,\"answer_tokens\":3}" });
        EXPECT_EQ(result.kind, Kind::Answered);
        EXPECT_EQ(result.tokens, 3U);
        EXPECT_EQ(result.firstToken, 0ms);
    }

    TEST(AnswerLines, TellsRefusedFromUnknown)
    {
        const Result refused
            = read({ "{\"outcome\":\"refused\",\"run\":\"not_run\",\"reason\":\"budget_exhausted\"}" }, 402);
        EXPECT_EQ(refused.kind, Kind::Refused);
        EXPECT_EQ(refused.reason, "budget_exhausted");
        const Result unknown
            = read({ "{\"token\":\"a\",\"index\":0}\n", "{\"outcome\":\"unknown\",\"reason\":\"backend_lost\"}\n" });
        EXPECT_EQ(unknown.kind, Kind::Unknown);
        const Result full = read({ "{\"error\":\"full\"}" }, 429);
        EXPECT_EQ(full.kind, Kind::Refused);
        EXPECT_EQ(full.reason, "full");
    }

    // Symptom: a broken answer counted as one. Sequence: a token is missing, or twice, or the stream ends without a
    // last line. Cause: a client that counts whatever came under status 200.
    TEST(AnswerLines, CountsNoAnswerThatIsNotWhole)
    {
        const std::string last = "{\"outcome\":\"answered\",\"answer_tokens\":2}\n";
        const std::string first = "{\"token\":\"a\",\"index\":0}\n";
        const std::string second = "{\"token\":\"b\",\"index\":1}\n";
        EXPECT_EQ(read({ first, second, last }).kind, Kind::Answered);
        EXPECT_EQ(read({ first, last }).reason, "tokens_missing");
        EXPECT_EQ(read({ second, last }).reason, "token_out_of_order");
        EXPECT_EQ(read({ first, first, last }).reason, "token_out_of_order");
        EXPECT_EQ(read({ first, second }).reason, "broken_off");
        EXPECT_EQ(read({ "not json\n", last }).reason, "no_json");
        EXPECT_EQ(read({ "{\"hello\":1}\n" }).reason, "no_outcome");
        EXPECT_EQ(read({}, 500).reason, "status_500");
    }

} // namespace
} // namespace swiftlift::load
