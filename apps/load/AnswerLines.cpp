#include "load/AnswerLines.h"

#include <nlohmann/json.hpp>

namespace swiftlift::load {

namespace {

    using nlohmann::json;

    [[nodiscard]] std::chrono::microseconds elapsed(
        std::chrono::steady_clock::time_point start, std::chrono::steady_clock::time_point now)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
    }

    [[nodiscard]] std::string stringField(const json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string {};
    }

    [[nodiscard]] std::int64_t integerField(const json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
    }

} // namespace

AnswerLines::AnswerLines(Result& result, std::chrono::steady_clock::time_point scheduledTime)
    : result_(result)
    , scheduledTime_(scheduledTime)
{
}

void AnswerLines::consume(std::string_view text, std::chrono::steady_clock::time_point now)
{
    result_.bytes += text.size();
    incompleteLine_ += text;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = incompleteLine_.find('\n', start)) != std::string::npos; start = end + 1) {
        parseLine(incompleteLine_.substr(start, end - start), now);
    }
    incompleteLine_.erase(0, start);
}

void AnswerLines::finish(int status)
{
    if (!incompleteLine_.empty()) {
        parseLine(incompleteLine_, std::chrono::steady_clock::now());
    }
    if (!complete_) {
        fail(status == 200 ? "broken_off" : "status_" + std::to_string(status));
    }
}

void AnswerLines::parseLine(const std::string& line, std::chrono::steady_clock::time_point now)
{
    if (line.empty() || complete_) {
        return;
    }
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object()) {
        fail("no_json");
        return;
    }
    const std::string outcome = stringField(parsed, "outcome");
    const bool done = parsed.value("done", false);
    if (outcome.empty() && !done && parsed.contains("token")) {
        recordToken(integerField(parsed, "index"), now);
    } else if (outcome == "answered" || done) {
        const std::int64_t statedTokens = integerField(parsed, "answer_tokens");
        const bool streamed = result_.tokens > 0 || done;
        if (streamed && statedTokens >= 0 && static_cast<std::uint64_t>(statedTokens) != result_.tokens) {
            fail("tokens_missing");
            return;
        }
        result_.tokens = statedTokens >= 0 ? static_cast<std::uint64_t>(statedTokens) : result_.tokens;
        result_.kind = ResultKind::Answered;
        complete_ = true;
    } else if (outcome == "refused" || outcome == "unknown") {
        result_.kind = outcome == "refused" ? ResultKind::Refused : ResultKind::Unknown;
        result_.reason = stringField(parsed, "reason");
        complete_ = true;
    } else if (parsed.contains("error")) {
        result_.kind = ResultKind::Refused;
        result_.reason = stringField(parsed, "error");
        complete_ = true;
    } else {
        fail("no_outcome");
    }
}

void AnswerLines::recordToken(std::int64_t index, std::chrono::steady_clock::time_point now)
{
    if (index != static_cast<std::int64_t>(result_.tokens)) {
        fail("token_out_of_order");
        return;
    }
    if (result_.tokens == 0) {
        result_.firstToken = elapsed(scheduledTime_, now);
    } else {
        result_.gaps.push_back(elapsed(lastTokenTime_, now));
    }
    lastTokenTime_ = now;
    ++result_.tokens;
}

void AnswerLines::fail(const std::string& reason)
{
    result_.kind = ResultKind::Error;
    result_.reason = reason;
    complete_ = true;
}

} // namespace swiftlift::load
