#include "placement/LoadPace.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::placement {

namespace internal {

    constexpr Duration minute = std::chrono::minutes(1);

} // namespace internal

LoadPace::LoadPace(const PlannerSettings& settings)
    : maxInFlight_(settings.maxLoadsInFlight)
    , maxPerMinute_(settings.maxLoadsPerMinute)
{
}

bool LoadPace::mayStartLoad(Urgency urgency, std::uint32_t inFlight, Instant now)
{
    while (!recentStarts_.empty() && recentStarts_.front() + internal::minute <= now) {
        recentStarts_.pop_front();
    }
    if (urgency == Urgency::Urgent) {
        return inFlight < maxInFlight_ && recentStarts_.size() < maxPerMinute_;
    }
    const std::uint32_t maxInFlightConvenient = std::max<std::uint32_t>(maxInFlight_, 2) - 1;
    const std::uint32_t maxPerMinuteConvenient = std::max<std::uint32_t>(maxPerMinute_ / 2, 1);
    return inFlight < std::min(maxInFlightConvenient, maxInFlight_)
        && recentStarts_.size() < std::min(maxPerMinuteConvenient, maxPerMinute_);
}

} // namespace swiftlift::placement
