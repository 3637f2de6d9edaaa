#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace swiftlift::standins {

/** @return 16 hex digits. */
[[nodiscard]] std::string toHex(std::uint64_t value);

/** @return xxh64 of the text. */
[[nodiscard]] std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/** @return The bytes in base64, padded. */
[[nodiscard]] std::string toBase64(std::string_view bytes);

} // namespace swiftlift::standins
