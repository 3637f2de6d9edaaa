#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace swiftlift::standins {

/** @return The tokens of a prompt: a token for each four bytes begun. */
[[nodiscard]] std::uint64_t promptTokenCount(std::string_view prompt);

/** @return How many tokens the answer has: N when the prompt contains `len=N`, but at most `maxTokens`. */
[[nodiscard]] std::uint64_t answerTokenCount(std::string_view prompt, std::uint64_t maxTokens);

/** @return Token `index` of the answer to the prompt: `t` and 16 hex digits of xxh64(prompt, seed = index). */
[[nodiscard]] std::string answerToken(std::string_view prompt, std::uint64_t index);

/** @return The prefix hash of cache events: xxh64 of the prompt's first 256 bytes. */
[[nodiscard]] std::uint64_t prefixHash(std::string_view prompt);

} // namespace swiftlift::standins
