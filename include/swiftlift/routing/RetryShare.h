#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** The fleet's bound on what is sent to a service beyond each request's first time. */
struct RetryBound {
    /** Of the requests for the service within the window. */
    double ratio = 0.1;
    /** Beyond that, by the whole fleet. */
    double extra = 20;
    Duration window = std::chrono::seconds(10);
};

/**
 * @brief One router's share of a bound that all routers have to keep together, while it may hear nobody.
 *
 * Its part of the ratio is the ratio of its own requests, and its part of the rest is divided by the routers: the sum
 * over all routers then keeps the bound, whatever each of them knows of the others.
 */
class RetryShare {
public:
    explicit RetryShare(RetryBound bound);

    void onRequest(Instant now);

    /**
     * @param routers Of the fleet, as far as is known; too few would break the bound, too many wastes some of it.
     * @return Whether one more may be sent; it then counts.
     */
    [[nodiscard]] bool take(std::uint32_t routers, Instant now);

    /** @return When there will be room again, as far as is known. */
    [[nodiscard]] Duration retryAfter(Instant now) const;

private:
    void forget(Instant now);

    RetryBound bound_;
    std::deque<Instant> requests_;
    std::deque<Instant> repeats_;
};

} // namespace swiftlift::routing
