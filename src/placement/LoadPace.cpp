#include "placement/LoadPace.h"

#include <algorithm>
#include <chrono>

namespace swiftlift::placement {

namespace internal {

    constexpr Duration minute = std::chrono::minutes(1);

} // namespace internal

LoadPace::LoadPace(const PlannerSettings& settings)
    : inFlight_(settings.loadsInFlight)
    , perMinute_(settings.loadsPerMinute)
{
}

bool LoadPace::mayBegin(Urgency urgency, std::uint32_t inFlight, Instant now)
{
    while (!begun_.empty() && begun_.front() + internal::minute <= now) {
        begun_.pop_front();
    }
    if (urgency == Urgency::Urgent) {
        return inFlight < inFlight_ && begun_.size() < perMinute_;
    }
    const std::uint32_t inFlightLeft = std::max<std::uint32_t>(inFlight_, 2) - 1;
    const std::uint32_t perMinuteLeft = std::max<std::uint32_t>(perMinute_ / 2, 1);
    return inFlight < std::min(inFlightLeft, inFlight_) && begun_.size() < std::min(perMinuteLeft, perMinute_);
}

} // namespace swiftlift::placement
