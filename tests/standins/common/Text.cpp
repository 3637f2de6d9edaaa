#include "common/Text.h"

#include <array>
#include <charconv>
#include <openssl/evp.h>
#include <xxhash.h>

namespace swiftlift::standins {

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits> buffer {};
    const auto result = std::to_chars(buffer.begin(), buffer.end(), value, 16);
    const std::string_view text(buffer.data(), static_cast<std::size_t>(result.ptr - buffer.data()));
    return std::string(digits - text.size(), '0') + std::string(text);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

std::string toBase64(std::string_view bytes)
{
    // The encoder writes a terminating zero besides the text.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto* source = reinterpret_cast<const unsigned char*>(bytes.data());
    auto* target = reinterpret_cast<unsigned char*>(text.data());
    const int length = EVP_EncodeBlock(target, source, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace swiftlift::standins
