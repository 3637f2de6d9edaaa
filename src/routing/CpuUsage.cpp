#include "swiftlift/routing/CpuUsage.h"

namespace swiftlift::routing {

void CpuUsage::onCpuTime(Duration used, Instant now)
{
    samples_.push_back({ now, used });
    while (samples_.size() > 1 && now - samples_[1].at >= window) {
        samples_.pop_front();
    }
}

double CpuUsage::share() const noexcept
{
    if (!known() || samples_.empty() || samples_.back().at - samples_.front().at < window) {
        return 0;
    }
    const std::chrono::duration<double> passed = samples_.back().at - samples_.front().at;
    const std::chrono::duration<double> used = samples_.back().used - samples_.front().used;
    return used / (passed * cores_);
}

} // namespace swiftlift::routing
