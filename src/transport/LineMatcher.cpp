#include "swiftlift/transport/LineMatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace swiftlift::transport {

namespace {

    using Json = nlohmann::json;

    std::string textField(const Json& json, const char* name)
    {
        const auto field = json.find(name);
        return field != json.end() && field->is_string() ? field->get<std::string>() : std::string();
    }

    std::optional<std::int64_t> numberField(const Json& json, const char* name)
    {
        const auto field = json.find(name);
        if (field == json.end() || !field->is_number_integer()) {
            return std::nullopt;
        }
        return field->get<std::int64_t>();
    }

} // namespace

LineMatcher::LineMatcher(std::string key, std::string attempt, std::int64_t next, std::int64_t maxTokens)
    : key_(std::move(key))
    , attempt_(std::move(attempt))
    , next_(next)
    , maxTokens_(maxTokens)
{
}

MatchedLine LineMatcher::match(std::string_view line)
{
    const Json json = Json::parse(line, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return ForeignLine { "line is not a JSON object" };
    }
    if (textField(json, "key") != key_) {
        return ForeignLine { "line has the key of another request" };
    }
    if (textField(json, "attempt") != attempt_) {
        return ForeignLine { "line of another attempt" };
    }
    if (const auto done = json.find("done"); done != json.end() && done->is_boolean() && done->get<bool>()) {
        return matchDone({ Tokens(numberField(json, "prompt_tokens").value_or(0)),
            Tokens(numberField(json, "answer_tokens").value_or(-1)),
            Tokens(numberField(json, "cached_prompt_tokens").value_or(0)) });
    }
    const auto index = numberField(json, "index");
    const auto token = json.find("token");
    if (!index || token == json.end() || !token->is_string()) {
        return BrokenLine { "line without a valid index or token" };
    }
    return matchIndex(*index, token->get<std::string>());
}

MatchedLine LineMatcher::matchIndex(std::int64_t index, std::string token)
{
    if (index > next_) {
        return BrokenLine { "tokens are missing: got index " + std::to_string(index) + ", expected "
            + std::to_string(next_) };
    }
    const bool advances = index > highest_;
    highest_ = std::max(highest_, index);
    if (index < next_) {
        return RepeatedLine { advances };
    }
    if (maxTokens_ > 0 && next_ >= maxTokens_) {
        return BrokenLine { "more tokens than the requested maximum" };
    }
    ++next_;
    return TokenLine { std::move(token) };
}

MatchedLine LineMatcher::matchDone(DoneLine done) const
{
    // The engine counts all tokens of the answer, including those skipped because the caller already has them. If fewer
    // have been received, the last lines were lost. No later index reveals that, so only this count can.
    const std::int64_t reported = done.answerTokens.value();
    if (reported != next_) {
        return BrokenLine { "engine reports " + std::to_string(reported) + " tokens, but " + std::to_string(next_)
            + " were received" };
    }
    return done;
}

} // namespace swiftlift::transport
