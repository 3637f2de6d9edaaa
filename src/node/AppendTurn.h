#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "swiftlift/base/Units.h"

namespace swiftlift::node {

/**
 * @brief A router's turn to append what every router of the fleet would append, unless it has read it by then.
 *
 * While one router's append is under way, the others can't know of it. With turns spread over a fixed time, all routers
 * of a large fleet append the same, and each reads what all have appended. Spread over a time in proportion to the
 * fleet, the number that appends before the first append is read depends on the log's delay only.
 */
class AppendTurn {
public:
    /** @param part Where in the time of all turns this one comes, from 0 to 1. */
    explicit AppendTurn(double part) noexcept
        : part_(part)
    {
    }

    /** @return Wait until this turn in a fleet of so many routers. */
    [[nodiscard]] Duration wait(std::uint32_t routers) const
    {
        const Duration all = std::max<Duration>(leastTimeOfAllTurns, timeOfOneTurn * routers);
        return std::chrono::duration_cast<Duration>(all * part_);
    }

private:
    static constexpr Duration leastTimeOfAllTurns = std::chrono::milliseconds(300);
    static constexpr Duration timeOfOneTurn = std::chrono::milliseconds(50);

    double part_;
};

} // namespace swiftlift::node
