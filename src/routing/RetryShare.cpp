#include "swiftlift/routing/RetryShare.h"

#include <algorithm>
#include <cmath>

namespace swiftlift::routing {

namespace {

    /** Part of the bound that is used. The rest is a margin: the bound may be checked over windows that begin a little
     * later than the router's. */
    constexpr double usedFraction = 0.9;

} // namespace

RetryShare::RetryShare(RetryBound bound)
    : bound_(bound)
{
}

void RetryShare::removeOld(Instant now)
{
    const Instant oldest = now - bound_.window;
    const auto dropOlderThanWindow = [oldest](std::deque<Instant>& times) {
        while (!times.empty() && times.front() < oldest) {
            times.pop_front();
        }
    };
    dropOlderThanWindow(requests_);
    dropOlderThanWindow(retries_);
}

void RetryShare::onRequest(Instant now)
{
    removeOld(now);
    requests_.push_back(now);
}

bool RetryShare::take(std::uint32_t routers, Instant now)
{
    removeOld(now);
    const double allowedByRatio = bound_.ratio * static_cast<double>(requests_.size());
    const double allowedByExtra = bound_.extra / std::max<std::uint32_t>(routers, 1);
    if (static_cast<double>(retries_.size()) + 1 > usedFraction * (allowedByRatio + allowedByExtra)) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

Duration RetryShare::retryAfter(Instant now) const
{
    return retries_.empty() ? Duration {} : std::max(retries_.front() + bound_.window - now, Duration {});
}

} // namespace swiftlift::routing
