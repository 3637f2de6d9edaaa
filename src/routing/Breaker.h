#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/**
 * @brief Circuit breaker of one backend server.
 *
 * Consecutive failures open the breaker. After its open time, one request is let through as a probe: its success closes
 * the breaker and begins a slow start, its failure opens the breaker again. The open time doubles each time the breaker
 * opens, until the backend server has answered after a complete slow start.
 */
class Breaker {
public:
    Breaker(const TableSettings& settings, std::uint64_t seed);

    /** @brief Records an answer of the backend server. */
    void onSuccess(Instant now);
    /**
     * @brief Records a failure. While the breaker is open, only the failure of the probe counts.
     * @param attempt The attempt that failed; nothing for a poll.
     * @param now The current time.
     */
    void onFailure(std::optional<AttemptId> attempt, Instant now);
    /** @brief Records that an attempt was sent; it becomes the probe if a probe is due. */
    void onDispatched(AttemptId attempt, Instant now);
    /** @brief Records that an attempt ended without showing whether the backend server works. */
    void onInconclusiveEnd(AttemptId attempt);
    /** @brief Makes a probe possible at once, after the backend server answered a poll again. */
    void allowProbe(Instant now);
    /** @brief Closes the breaker as if no attempt had failed. */
    void forget();
    /** @brief Closes the breaker and begins a slow start, after the backend server restarted or the probe succeeded. */
    void restart(Instant now);

    /** @return True if no request may be sent: the breaker is open, or its probe is in progress. */
    [[nodiscard]] bool open(Instant now) const;
    /** @return True if the next request will be the probe. */
    [[nodiscard]] bool mayProbe(Instant now) const;
    /** @return True if the probe is in progress. */
    [[nodiscard]] bool probing() const noexcept { return probe_.has_value(); }
    /** @return When a probe may be sent; nothing if the breaker is closed. */
    [[nodiscard]] std::optional<Instant> openUntil() const noexcept { return openUntil_; }
    /** @return True during the slow start. */
    [[nodiscard]] bool slowStart(Instant now) const;
    /** @return How many of `slots` may be used now: at least one; unlimited after the slow start. */
    [[nodiscard]] std::uint32_t allowed(std::uint32_t slots, Instant now) const;

private:
    void trip(Instant now);

    Duration firstOpenTime_;
    Duration maxOpenTime_;
    Duration slowStartTime_;
    std::uint32_t failuresToOpen_;
    std::mt19937_64 random_;
    /** Consecutive failures. */
    std::uint32_t failures_ = 0;
    /** How long the breaker stays open when it opens next, apart from jitter. */
    Duration nextOpenTime_;
    std::optional<Instant> openUntil_;
    /** The attempt that is the probe in progress. */
    std::optional<AttemptId> probe_;
    /** When the last slow start began; reset when the breaker opens. */
    std::optional<Instant> slowStartBegan_;
};

} // namespace swiftlift::routing
