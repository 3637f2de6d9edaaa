#include "log/AppendRate.h"

#include <algorithm>

namespace swiftlift::standins {

namespace internal {

    constexpr double burstSeconds = 0.25;

} // namespace internal

AppendRate::AppendRate(double perSecond)
    : perSecond_(perSecond)
    , burst_(std::max(1.0, perSecond * internal::burstSeconds))
    , available_(burst_)
{
}

bool AppendRate::take()
{
    const auto now = Clock::now();
    const std::chrono::duration<double> elapsed = now - updated_;
    updated_ = now;
    available_ = std::min(burst_, available_ + elapsed.count() * perSecond_);
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace swiftlift::standins
