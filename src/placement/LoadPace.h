#pragma once

#include <cstdint>
#include <deque>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** The failure domain's share of the weight store's rate. */
class LoadPace {
public:
    explicit LoadPace(const PlannerSettings& settings);

    /** @param inFlight Loads under way. @return True when one more may begin now. */
    [[nodiscard]] bool mayBegin(Urgency urgency, std::uint32_t inFlight, Instant now);
    void onBegun(Instant now) { begun_.push_back(now); }

private:
    std::uint32_t inFlight_;
    std::uint32_t perMinute_;
    /** Within the last minute. */
    std::deque<Instant> begun_;
};

} // namespace swiftlift::placement
