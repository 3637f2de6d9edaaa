#include "swiftlift/transport/LineMatcher.h"

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

LineMatcher::LineMatcher(std::string key, std::string attempt, std::int64_t next, std::int64_t most)
    : key_(std::move(key))
    , attempt_(std::move(attempt))
    , next_(next)
    , most_(most)
{
}

MatchedLine LineMatcher::match(std::string_view line)
{
    const Json json = Json::parse(line, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return ForeignLine { "not a JSON object" };
    }
    if (textField(json, "key") != key_) {
        return ForeignLine { "key of another request" };
    }
    if (textField(json, "attempt") != attempt_) {
        return ForeignLine { "another attempt" };
    }
    if (const auto done = json.find("done"); done != json.end() && done->is_boolean() && done->get<bool>()) {
        return matchDone({ Tokens(numberField(json, "prompt_tokens").value_or(0)),
            Tokens(numberField(json, "answer_tokens").value_or(-1)),
            Tokens(numberField(json, "cached_prompt_tokens").value_or(0)) });
    }
    const auto index = numberField(json, "index");
    const auto token = json.find("token");
    if (!index || token == json.end() || !token->is_string()) {
        return BrokenLine { "a line without index or token" };
    }
    return matchIndex(*index, token->get<std::string>());
}

MatchedLine LineMatcher::matchIndex(std::int64_t index, std::string token)
{
    if (index > next_) {
        return BrokenLine { "tokens are missing: got index " + std::to_string(index) + ", expected "
            + std::to_string(next_) };
    }
    if (index < next_) {
        return RepeatedLine {};
    }
    if (most_ > 0 && next_ >= most_) {
        return BrokenLine { "more tokens than were asked for" };
    }
    ++next_;
    return TokenLine { std::move(token) };
}

MatchedLine LineMatcher::matchDone(DoneLine done) const
{
    // The engine counts the whole answer, skipped tokens included. When fewer have come, the last lines went astray:
    // no later index shows that, so only this count does.
    const std::int64_t counted = done.answerTokens.value();
    if (counted != next_) {
        return BrokenLine { "the engine counted " + std::to_string(counted) + " tokens, " + std::to_string(next_)
            + " came" };
    }
    return done;
}

} // namespace swiftlift::transport
