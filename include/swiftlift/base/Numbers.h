#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace swiftlift {

/**
 * @brief Parses a text that consists of one integer and nothing else.
 * @param text Text to parse.
 * @param base Base of the digits, 2 to 36.
 * @return The integer; empty if the text is empty, has other characters, or its value does not fit into `Number`.
 */
template <std::integral Number> [[nodiscard]] std::optional<Number> parseWhole(std::string_view text, int base = 10)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc {} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/**
 * @brief Parses a text that consists of one finite decimal number and nothing else.
 * @param text Text to parse.
 * @return The number; empty if the text is empty, has other characters, or its value is not finite.
 */
[[nodiscard]] std::optional<double> parseDecimal(std::string_view text);

/**
 * @param number Number to format.
 * @return The number as 16 lower-case hexadecimal digits, including leading zeros.
 */
[[nodiscard]] std::string toHex(std::uint64_t number);

} // namespace swiftlift
