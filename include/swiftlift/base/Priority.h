#pragma once

#include <cstdint>

namespace swiftlift {

/** How urgent a caller calls its request. */
enum class Priority : std::uint8_t { Interactive, Normal, Batch };

} // namespace swiftlift
