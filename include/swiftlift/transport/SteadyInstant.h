#pragma once

#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::transport {

/** @return The current time of the steady clock, as the `Instant` that the core uses. Makes no system call. */
[[nodiscard]] inline Instant steadyInstant() noexcept
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(now));
}

} // namespace swiftlift::transport
