#pragma once

#include <cstdint>

namespace swiftlift {

/** Urgency of a request, as stated by its caller. */
enum class Priority : std::uint8_t { Interactive, Normal, Batch };

} // namespace swiftlift
