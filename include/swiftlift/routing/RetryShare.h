#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief The fleet's bound on retries to one service within a time window. */
struct RetryBound {
    /** Retries allowed for each request for the service. */
    double ratio = 0.1;
    /** Retries allowed beyond `ratio`, for the whole fleet. */
    double extra = 20;
    /** The time window. */
    Duration window = std::chrono::seconds(10);
};

/**
 * @brief One router's share of a retry bound that the whole fleet has to keep, without communication between routers.
 *
 * Each router may send `ratio` retries for each of its own requests, and an equal share of `extra`. The sum over all
 * routers then keeps the bound even if routers are cut off from each other.
 */
class RetryShare {
public:
    /** @param bound The fleet's bound. */
    explicit RetryShare(RetryBound bound);

    /** @brief Records a request for the service. */
    void onRequest(Instant now);

    /**
     * @brief Takes one retry from the router's share.
     * @param routers Number of routers in the fleet. A number too low may break the bound, one too high leaves part of
     * it unused.
     * @param now The current time.
     * @return True if the retry may be sent.
     */
    [[nodiscard]] bool take(std::uint32_t routers, Instant now);

    /** @return Number of requests within the window, as of the last call with a time. */
    [[nodiscard]] std::size_t requests() const noexcept { return requests_.size(); }
    /** @return Number of retries within the window, as of the last call with a time. */
    [[nodiscard]] std::size_t retries() const noexcept { return retries_.size(); }
    /** @return Time until the oldest counted retry leaves the window. */
    [[nodiscard]] Duration retryAfter(Instant now) const;

private:
    void removeOld(Instant now);

    RetryBound bound_;
    /** Times of the requests within the window. */
    std::deque<Instant> requests_;
    /** Times of the retries within the window. */
    std::deque<Instant> retries_;
};

} // namespace swiftlift::routing
