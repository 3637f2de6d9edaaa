#include "swiftlift/routing/RetryShare.h"

#include <algorithm>
#include <cassert>

namespace swiftlift::routing {

namespace {

    /** Part of the bound that is used. The rest is a margin: retries arrive a little later than they are sent, and
     * routers may know different numbers of routers for a while. */
    constexpr double usedFraction = 0.9;
    /** Retries that a router may save up at least, since with less it could never send one. */
    constexpr double minSaved = 1;

} // namespace

RetryShare::RetryShare(RetryBound bound, Instant startedAt)
    : bound_(bound)
    , lastRetry_(startedAt)
{
}

void RetryShare::onRequest() noexcept { credit_ += usedFraction * bound_.ratio; }

bool RetryShare::reserve(double extra, Instant now)
{
    const double share = usedFraction * extra;
    if (reserved_ == 0 && now - lastRetry_ > bound_.window) {
        credit_ = std::max(credit_, share);
    }
    credit_ = std::min(credit_, std::max(share, minSaved));
    if (static_cast<double>(reserved_ + 1) > credit_) {
        return false;
    }
    ++reserved_;
    return true;
}

void RetryShare::release() noexcept
{
    assert(reserved_ > 0 && "only reserved retries are given back");
    --reserved_;
}

void RetryShare::onSent(Instant now) noexcept
{
    release();
    credit_ -= 1;
    lastRetry_ = now;
}

void RetryShare::onNotArrived() noexcept { credit_ += 1; }

} // namespace swiftlift::routing
