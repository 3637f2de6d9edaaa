#pragma once

#include <cstdint>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Bounds retries to a percentage of the first attempts, so that retries can't feed an overload.
 *
 * A token bucket: each first attempt adds the percentage of one retry, and time adds a trickle for quiet services.
 */
class RetryBudget {
public:
    /** @param percent Most retries, in percent of first attempts. */
    explicit RetryBudget(std::uint32_t percent);

    void setPercent(std::uint32_t percent) noexcept { percent_ = percent; }

    void onFirstAttempt(Instant now);

    /** @return True, and one retry is taken, when there is one left. */
    [[nodiscard]] bool tryRetry(Instant now);

    /** @return When there will be one again, at the present pace of first attempts. */
    [[nodiscard]] Duration retryAfter(Instant now) const;

private:
    void trickle(Instant now);

    std::uint32_t percent_;
    /** In thousandths of a retry. */
    std::int64_t level_;
    Instant lastTrickle_ {};
    bool started_ = false;
    /** Mean time between first attempts. */
    Duration pace_ {};
    Instant lastAttempt_ {};
};

} // namespace swiftlift::routing
