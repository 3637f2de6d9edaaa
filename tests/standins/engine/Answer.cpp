#include "engine/Answer.h"

#include <algorithm>
#include <charconv>

#include "common/Text.h"

namespace swiftlift::standins {

namespace internal {

    constexpr std::uint64_t bytesPerToken = 4;
    constexpr std::size_t prefixBytes = 256;
    constexpr std::string_view lengthMark = "len=";

} // namespace internal

std::uint64_t promptTokenCount(std::string_view prompt)
{
    return (prompt.size() + internal::bytesPerToken - 1) / internal::bytesPerToken;
}

std::uint64_t answerTokenCount(std::string_view prompt, std::uint64_t maxTokens)
{
    const auto mark = prompt.find(internal::lengthMark);
    if (mark == std::string_view::npos) {
        return maxTokens;
    }
    const auto digits = prompt.substr(mark + internal::lengthMark.size());
    std::uint64_t count = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return result.ec == std::errc() ? std::min(count, maxTokens) : maxTokens;
}

std::string answerToken(std::string_view prompt, std::uint64_t index) { return "t" + toHex(hashOf(prompt, index)); }

std::uint64_t prefixHash(std::string_view prompt) { return hashOf(prompt.substr(0, internal::prefixBytes)); }

} // namespace swiftlift::standins
