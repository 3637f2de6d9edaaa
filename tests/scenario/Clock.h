#pragma once

#include <chrono>

namespace swiftlift::scenario {

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Long enough for any event on a busy machine; a wait that reaches it is a failure. */
inline constexpr Milliseconds longBound { 60'000 };
/** How often a wait looks again. */
inline constexpr Milliseconds lookAgain { 20 };

/** @return Milliseconds from `from` to `to`. */
[[nodiscard]] inline double millisecondsBetween(Moment from, Moment to) noexcept
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace swiftlift::scenario
