#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/**
 * @brief Keeps traffic off a backend server that fails: closed, open for a growing time, one probe, slow start.
 */
class Breaker {
public:
    Breaker(const TableSettings& settings, std::uint64_t seed);

    void onSuccess(Instant now);
    /** @param attempt The one that failed; nothing: a poll. While open, only the probe's failure counts. */
    void onFailure(std::optional<AttemptId> attempt, Instant now);
    void onDispatched(AttemptId attempt, Instant now);
    /** @brief The attempt ended without telling anything about the backend server. */
    void onNothingLearnt(AttemptId attempt);
    /** @brief It answers its polls again after it did not: the probe need not wait any longer. */
    void hasten(Instant now);
    /** @brief It started anew: slow start, whatever was before. */
    void restart(Instant now);

    [[nodiscard]] bool open(Instant now) const;
    /** @return True when the next request is the one probe. */
    [[nodiscard]] bool mayProbe(Instant now) const;
    [[nodiscard]] bool probing() const noexcept { return probe_.has_value(); }
    [[nodiscard]] std::optional<Instant> openUntil() const noexcept { return openUntil_; }
    [[nodiscard]] bool slowStart(Instant now) const;
    /** @return How many of `slots` may be used now, at least one. */
    [[nodiscard]] std::uint32_t allowed(std::uint32_t slots, Instant now) const;

private:
    void trip(Instant now);

    Duration firstOpen_;
    Duration longestOpen_;
    Duration slowStart_;
    std::uint32_t failuresToOpen_;
    std::mt19937_64 random_;
    std::uint32_t failures_ = 0;
    Duration nextOpen_;
    std::optional<Instant> openUntil_;
    std::optional<AttemptId> probe_;
    std::optional<Instant> slowFrom_;
};

} // namespace swiftlift::routing
