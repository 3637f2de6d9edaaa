#include "swiftlift/base/Numbers.h"

#include <cmath>

namespace swiftlift {

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool whole = error == std::errc {} && end == text.data() + text.size();
    return whole && std::isfinite(number) ? std::optional(number) : std::nullopt;
}

std::string toHex(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bitsPerDigit = 4;
    constexpr std::size_t length = 16;
    std::string text(length, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[number & 0xFU];
        number >>= bitsPerDigit;
    }
    return text;
}

} // namespace swiftlift
