#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/** @brief Estimated number of requests at a backend server at one moment. */
struct LoadNow {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/**
 * @brief Estimates the load of one backend server: its last load report, corrected by the attempts that this router
 * sent or finished since.
 */
class LoadEstimate {
public:
    /**
     * @param settings Lag and lifetime of load reports, and assumed figures.
     * @param slots Requests that the backend server runs at once; 0 if not known.
     */
    LoadEstimate(const TableSettings& settings, std::uint32_t slots);

    void onReport(const LoadReport& report, Instant now);
    void onDispatched(AttemptId attempt, Instant now);
    /** @return How long the attempt ran; nothing if it is not in progress. */
    std::optional<Duration> onFinished(AttemptId attempt, bool completed, Instant now);
    /** @brief Discards the last load report after the backend server restarted. */
    void restart();

    /** @return The estimated load at `now`. */
    [[nodiscard]] LoadNow now(Instant now) const;
    /** @return Number of this router's attempts in progress. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return static_cast<std::uint32_t>(running_.size()); }
    /** @return Estimated number of requests that the backend server runs at once, at least one. */
    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }
    /** @return Moving average of the time for which a request occupies a slot. */
    [[nodiscard]] Duration serviceTime() const noexcept { return serviceTime_; }
    /** @return Duration of one engine step. */
    [[nodiscard]] Duration step() const noexcept { return step_; }
    /** @return Time since the last load report arrived; nothing if there was none. */
    [[nodiscard]] std::optional<Duration> reportAge(Instant now) const;

private:
    /** @brief An attempt that ended. */
    struct FinishedAttempt {
        Instant sent;
        Instant ended;
    };

    Duration reportLag_;
    Duration reportLifetime_;
    /** When each of this router's attempts in progress was sent. */
    std::map<AttemptId, Instant> running_;
    /** Attempts that ended after the moment that the last load report shows. */
    std::vector<FinishedAttempt> finished_;
    /** Running and waiting requests in the last load report. */
    std::uint32_t reported_ = 0;
    std::optional<Instant> reportedAt_;
    std::uint32_t slots_;
    Duration serviceTime_;
    Duration step_;
};

} // namespace swiftlift::routing
