#include "swiftlift/routing/RetryShare.h"

#include <algorithm>
#include <cmath>

namespace swiftlift::routing {

namespace {

    /** Part of the bound that is used: what is sent now may be counted in a window that begins a little later. */
    constexpr double usedPart = 0.9;

} // namespace

RetryShare::RetryShare(RetryBound bound)
    : bound_(bound)
{
}

void RetryShare::forget(Instant now)
{
    const Instant oldest = now - bound_.window;
    const auto dropOld = [oldest](std::deque<Instant>& moments) {
        while (!moments.empty() && moments.front() < oldest) {
            moments.pop_front();
        }
    };
    dropOld(requests_);
    dropOld(repeats_);
}

void RetryShare::onRequest(Instant now)
{
    forget(now);
    requests_.push_back(now);
}

bool RetryShare::take(std::uint32_t routers, Instant now)
{
    forget(now);
    const double ofRequests = bound_.ratio * static_cast<double>(requests_.size());
    const double ofRest = bound_.extra / std::max<std::uint32_t>(routers, 1);
    if (static_cast<double>(repeats_.size()) + 1 > usedPart * (ofRequests + ofRest)) {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

Duration RetryShare::retryAfter(Instant now) const
{
    return repeats_.empty() ? Duration {} : std::max(repeats_.front() + bound_.window - now, Duration {});
}

} // namespace swiftlift::routing
