#pragma once

#include <cstdint>
#include <deque>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** Limits the model loads of the failure domain to its share of the weight store's rate. */
class LoadPace {
public:
    explicit LoadPace(const PlannerSettings& settings);

    /**
     * @param inFlight Number of loads in flight.
     * @return True when one more load may start now.
     */
    [[nodiscard]] bool mayStartLoad(Urgency urgency, std::uint32_t inFlight, Instant now);
    /** @brief Counts a load that starts at `now`. */
    void onLoadStarted(Instant now) { recentStarts_.push_back(now); }

private:
    std::uint32_t maxInFlight_;
    std::uint32_t maxPerMinute_;
    /** Start times of the loads of the last minute. */
    std::deque<Instant> recentStarts_;
};

} // namespace swiftlift::placement
