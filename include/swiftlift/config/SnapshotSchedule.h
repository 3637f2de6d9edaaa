#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "swiftlift/base/Units.h"

namespace swiftlift::config {

/**
 * @brief Decides when this router appends a snapshot, so that the stream's oldest records may expire.
 *
 * Every router may append snapshots. Each waits the interval plus a random time, and restarts the wait after reading a
 * snapshot, so that mostly only one router appends in an interval.
 */
class SnapshotSchedule {
public:
    /**
     * @param interval Time between two snapshots; under a third of the log's retention time.
     * @param seed Seed of the random additional wait, which is at most half the interval.
     */
    SnapshotSchedule(Duration interval, std::uint64_t seed);

    /**
     * @brief Changes the interval, beginning with the next wait, for instance after the size of the state changed.
     * @param interval Time between two snapshots.
     */
    void setInterval(Duration interval) noexcept { interval_ = interval; }

    /**
     * @brief Restarts the wait after a snapshot was read from the log, whichever router appended the snapshot.
     * @param now Present time.
     */
    void onSnapshot(Instant now);

    /**
     * @brief Checks whether a snapshot is due. When one is due, a new wait begins.
     * @param now Present time.
     * @return True when this router should append a snapshot now.
     */
    [[nodiscard]] bool due(Instant now);

private:
    void restartWait(Instant now);

    Duration interval_;
    std::mt19937_64 random_;
    bool started_ = false;
    Instant nextDue_ {};
};

} // namespace swiftlift::config
