#include "swiftlift/base/Numbers.h"

namespace swiftlift {

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
