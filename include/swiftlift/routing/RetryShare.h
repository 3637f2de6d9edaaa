#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

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
 * A process earns `ratio` retries with each of its own requests, and saves up at most its router's equal share of
 * `extra`. In any window it sends no more than it earned there and had saved up, so the sum over all routers keeps the
 * bound even if routers are cut off from each other.
 *
 * A process does not know what its predecessor at the same VM sent just before its end, so it starts with nothing saved
 * up: over any number of restarts, one VM sends no more than one process would. After a whole window without a retry,
 * the share of `extra` is available again.
 */
class RetryShare {
public:
    /**
     * @param bound The fleet's bound.
     * @param startedAt When this router's process started.
     */
    RetryShare(RetryBound bound, Instant startedAt);

    /** @brief Records a request for the service. */
    void onRequest() noexcept;

    /**
     * @brief Reserves one retry, to be followed by release() or onSent().
     * @param extra This router's share of the bound's `extra`.
     * @param now The current time.
     * @return True if the retry may be sent.
     */
    [[nodiscard]] bool reserve(double extra, Instant now);
    /** @brief Gives back a reserved retry that will not be sent. */
    void release() noexcept;
    /** @brief Counts a reserved retry as sent. */
    void onSent(Instant now) noexcept;
    /** @brief Gives back a retry that was counted as sent and did not reach a backend server. */
    void onNotArrived() noexcept;

    /** @return Retries that are earned and not sent, including the reserved ones. */
    [[nodiscard]] double credit() const noexcept { return credit_; }
    /** @return Number of retries that are reserved and not sent yet. */
    [[nodiscard]] std::size_t reserved() const noexcept { return reserved_; }

private:
    RetryBound bound_;
    /** Up to here, this router may have sent retries. */
    Instant lastRetry_;
    double credit_ = 0;
    std::size_t reserved_ = 0;
};

} // namespace swiftlift::routing
