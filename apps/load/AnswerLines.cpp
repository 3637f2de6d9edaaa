#include "load/AnswerLines.h"

#include <nlohmann/json.hpp>

namespace swiftlift::load {

namespace {

    using nlohmann::json;

    [[nodiscard]] std::chrono::microseconds since(
        std::chrono::steady_clock::time_point start, std::chrono::steady_clock::time_point now)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
    }

    [[nodiscard]] std::string textOf(const json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_string() ? found->get<std::string>() : std::string {};
    }

    [[nodiscard]] std::int64_t numberOf(const json& line, const char* name)
    {
        const auto found = line.find(name);
        return found != line.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
    }

} // namespace

AnswerLines::AnswerLines(Result& result, std::chrono::steady_clock::time_point scheduled)
    : result_(result)
    , scheduled_(scheduled)
{
}

void AnswerLines::take(std::string_view text, std::chrono::steady_clock::time_point now)
{
    result_.bytes += text.size();
    rest_ += text;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = rest_.find('\n', start)) != std::string::npos; start = end + 1) {
        takeLine(rest_.substr(start, end - start), now);
    }
    rest_.erase(0, start);
}

void AnswerLines::finish(int status)
{
    if (!rest_.empty()) {
        takeLine(rest_, std::chrono::steady_clock::now());
    }
    if (!decided_) {
        fail(status == 200 ? "broken_off" : "status_" + std::to_string(status));
    }
}

void AnswerLines::takeLine(const std::string& line, std::chrono::steady_clock::time_point now)
{
    if (line.empty() || decided_) {
        return;
    }
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object()) {
        fail("no_json");
        return;
    }
    const std::string outcome = textOf(parsed, "outcome");
    const bool done = parsed.value("done", false);
    if (outcome.empty() && !done && parsed.contains("token")) {
        takeToken(numberOf(parsed, "index"), now);
    } else if (outcome == "answered" || done) {
        const std::int64_t said = numberOf(parsed, "answer_tokens");
        const bool streamed = result_.tokens > 0 || done;
        if (streamed && said >= 0 && static_cast<std::uint64_t>(said) != result_.tokens) {
            fail("tokens_missing");
            return;
        }
        result_.tokens = said >= 0 ? static_cast<std::uint64_t>(said) : result_.tokens;
        result_.kind = Kind::Answered;
        decided_ = true;
    } else if (outcome == "refused" || outcome == "unknown") {
        result_.kind = outcome == "refused" ? Kind::Refused : Kind::Unknown;
        result_.reason = textOf(parsed, "reason");
        decided_ = true;
    } else if (parsed.contains("error")) {
        result_.kind = Kind::Refused;
        result_.reason = textOf(parsed, "error");
        decided_ = true;
    } else {
        fail("no_outcome");
    }
}

void AnswerLines::takeToken(std::int64_t index, std::chrono::steady_clock::time_point now)
{
    if (index != static_cast<std::int64_t>(result_.tokens)) {
        fail("token_out_of_order");
        return;
    }
    if (result_.tokens == 0) {
        result_.firstToken = since(scheduled_, now);
    } else {
        result_.gaps.push_back(since(lastToken_, now));
    }
    lastToken_ = now;
    ++result_.tokens;
}

void AnswerLines::fail(const std::string& reason)
{
    result_.kind = Kind::Error;
    result_.reason = reason;
    decided_ = true;
}

} // namespace swiftlift::load
