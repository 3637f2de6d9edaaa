#include "Measure.h"

#include <gtest/gtest.h>

namespace swiftlift::scenario::test {

namespace {

    const Moment begin = Clock::now();

    Observation seen(const std::string& id, int sentMs, int firstMs, std::vector<float> gaps = {})
    {
        Observation observation;
        observation.call.id = id;
        observation.call.account = "league";
        observation.answer.outcome = CallOutcome::Answered;
        observation.answer.sentAt = begin + Milliseconds(sentMs);
        observation.answer.firstTokenAt = observation.answer.sentAt + Milliseconds(firstMs);
        observation.answer.gapsMs = std::move(gaps);
        return observation;
    }

} // namespace

TEST(Measure, TakesTheLoadsOwnRequestsOfTheWindow)
{
    std::vector<Observation> all;
    for (int i = 0; i < 100; ++i) {
        all.push_back(seen("a-" + std::to_string(i), i, i + 1, { 20 }));
    }
    all.push_back(seen("b-1", 5, 9000));
    all.push_back(seen("a-late", 100, 9000));
    Observation refused = seen("a-refused", 50, 0);
    refused.answer.outcome = CallOutcome::Refused;
    refused.answer.reason = "overloaded";
    refused.answer.firstTokenAt.reset();
    refused.call.account = "other";
    all.push_back(refused);

    const Json result = measure(all, { "a-", {}, begin, begin + Milliseconds(100) });
    EXPECT_EQ(result["requests"], 101);
    EXPECT_EQ(result["answered"], 100);
    EXPECT_EQ(result["refused"], 1);
    EXPECT_EQ(result["reasons"], Json({ { "overloaded", 1 } }));
    EXPECT_DOUBLE_EQ(result["first_p50"].get<double>(), 50);
    EXPECT_DOUBLE_EQ(result["first_p95"].get<double>(), 95);
    EXPECT_DOUBLE_EQ(result["between_p95"].get<double>(), 20);

    const Json others = measure(all, { "a-", { "other" }, begin, begin + Milliseconds(100) });
    EXPECT_EQ(others["requests"], 1);
    EXPECT_DOUBLE_EQ(others["first_p95"].get<double>(), 0) << "nobody got a first token";
}

} // namespace swiftlift::scenario::test
