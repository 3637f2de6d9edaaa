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
 * @param base Of the digits.
 * @return The number that is the whole of the text; nothing for any other text, an empty one or a number too large.
 */
template <std::integral Number> [[nodiscard]] std::optional<Number> parseWhole(std::string_view text, int base = 10)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc {} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/** @return The number as 16 hexadecimal digits, leading zeros included. */
[[nodiscard]] std::string toHex(std::uint64_t number);

} // namespace swiftlift
