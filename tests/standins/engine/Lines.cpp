#include "engine/Lines.h"

#include "common/Text.h"
#include "common/Types.h"

namespace swiftlift::standins {

namespace internal {

    std::string otherKey(const std::string& key) { return toHex(hashOf(key, 1)) + toHex(hashOf(key, 2)); }

} // namespace internal

Lines::Lines(std::string key, std::string attempt)
    : key_(std::move(key))
    , attempt_(std::move(attempt))
{
}

std::string Lines::token(std::uint64_t index, const std::string& token) const
{
    const Json line { { "key", key_ }, { "attempt", attempt_ }, { "index", index }, { "token", token } };
    return line.dump() + "\n";
}

std::string Lines::done(std::uint64_t promptTokens, std::uint64_t answerTokens, std::uint64_t cachedPromptTokens) const
{
    const Json line { { "key", key_ }, { "attempt", attempt_ }, { "done", true }, { "prompt_tokens", promptTokens },
        { "answer_tokens", answerTokens }, { "cached_prompt_tokens", cachedPromptTokens } };
    return line.dump() + "\n";
}

std::string Lines::strays(std::uint64_t index) const
{
    const Lines otherCaller(internal::otherKey(key_), attempt_);
    const Lines otherAttempt(key_, attempt_ + "-stray");
    return otherCaller.token(index, "stray") + otherCaller.done(1, 1, 0) + otherAttempt.token(index, "stray");
}

} // namespace swiftlift::standins
