#pragma once

#include <cstdint>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Bounds retries to a percentage of the first attempts, so that retries can't feed an overload.
 *
 * A token bucket: each first attempt adds the given percentage of one retry, and the passing of time adds retries at a
 * low rate for services with little traffic.
 */
class RetryBudget {
public:
    /** @param percent Maximum number of retries, in percent of first attempts; 0 for no retries. */
    explicit RetryBudget(std::uint32_t percent);

    void setPercent(std::uint32_t percent) noexcept { percent_ = percent; }

    /** @brief Records the first attempt of a request. */
    void onFirstAttempt(Instant now);

    /**
     * @brief Takes one retry from the budget.
     * @return True if there was one left.
     */
    [[nodiscard]] bool tryRetry(Instant now);

    /** @return Time until a retry is available again, at the present rate of first attempts. */
    [[nodiscard]] Duration retryAfter(Instant now) const;

private:
    /** @brief Adds the retries that the time since the last call has earned. */
    void refill(Instant now);

    std::uint32_t percent_;
    /** Retries that are available, in thousandths. */
    std::int64_t level_;
    Instant lastRefill_ {};
    bool started_ = false;
    /** Moving average of the time between first attempts. */
    Duration attemptInterval_ {};
    Instant lastAttempt_ {};
};

} // namespace swiftlift::routing
