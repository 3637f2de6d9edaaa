#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <ostream>
#include <set>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ledger::internal {

/** @brief Estimates the token rate of a stream of requests or bills, with exponential decay, and their largest amount.
 */
class HolderDemand {
public:
    /** @brief Adds an amount to the rate. */
    void record(Tokens amount, Instant now);
    /** @brief Notes an amount that others need here, which counts as the largest only. */
    void noteLargest(Tokens amount, Instant now);
    /**
     * @brief Removes an amount recorded earlier: its request was refused, and a retry is recorded as another request.
     * @param amount Tokens that were recorded.
     * @param recordedAt When they were recorded.
     */
    void withdraw(Tokens amount, Instant recordedAt, Instant now);

    /** @return Recent rate in tokens per second. */
    [[nodiscard]] double rate(Instant now) const;
    /** @return Largest amount recorded within the last one to two windows. */
    [[nodiscard]] Tokens largest(Instant now) const;

    void print(std::ostream& out) const;

private:
    /** Exponentially decayed sum of the recorded amounts, as of `decayedAt_`. */
    double decayedSum_ = 0;
    Instant decayedAt_ {};
    std::optional<Instant> firstRecordedAt_;
    /** Largest amounts of the current window and of the previous one. */
    Tokens largest_;
    Tokens previousLargest_;
    Instant windowStart_ {};
};

/** @brief A request that waits for tokens. */
struct WaitingRequest {
    Tokens amount;
    /** When the request was first tried, and when it was last retried. */
    Instant since {};
    Instant lastTriedAt {};
};

/**
 * @brief Requests that wait for tokens, until they are covered, withdrawn or expired.
 *
 * The sum and the extremes are maintained with each change: under a burst of an account's requests a hundred of them
 * wait, and each retry and each bill that is read queries the sums again.
 */
class WaitingRequests {
public:
    /**
     * @brief Adds a request, or notes a retry of the request with this key.
     * @return Whether the key is new, so that its demand has not been recorded yet.
     */
    bool add(RequestKey key, Tokens amount, Instant now);
    /** @return The removed request; nothing when no request with this key was waiting. */
    std::optional<WaitingRequest> remove(RequestKey key);
    /** @brief Drops requests that have neither been retried nor withdrawn for a while. */
    void expire(Instant now);

    [[nodiscard]] bool empty() const noexcept { return requests_.empty(); }
    [[nodiscard]] Tokens largest() const;
    [[nodiscard]] Tokens smallest() const;
    [[nodiscard]] Tokens sum() const noexcept { return sum_; }
    /** @return When the request with this key was first tried; `now` when it is not waiting. */
    [[nodiscard]] Instant since(RequestKey key, Instant now) const;

    void print(std::ostream& out) const;

private:
    void removeAmount(Tokens amount);

    std::map<RequestKey, WaitingRequest> requests_;
    std::multiset<Tokens> amounts_;
    Tokens sum_;
};

} // namespace swiftlift::ledger::internal
