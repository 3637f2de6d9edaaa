#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "swiftlift/base/Units.h"

namespace swiftlift::config {

/**
 * @brief When this router should append a snapshot, so that the stream's oldest records may expire.
 *
 * Any router may append one. Each waits a random time more, and starts over when it reads another's: mostly one does.
 */
class SnapshotSchedule {
public:
    /**
     * @param interval Between two snapshots; under a third of the log's retention.
     * @param seed Of the random stagger, which is at most half the interval.
     */
    SnapshotSchedule(Duration interval, std::uint64_t seed);

    /** @brief Another interval from the next wait on; for a state whose size asks for one. */
    void setInterval(Duration interval) noexcept { interval_ = interval; }

    /** @brief A snapshot was read from the log, whoever appended it. */
    void onSnapshot(Instant now);

    /** @return True when one is due; false again until onSnapshot() or until the same wait has passed once more. */
    [[nodiscard]] bool due(Instant now);

private:
    void restart(Instant now);

    Duration interval_;
    std::mt19937_64 random_;
    bool started_ = false;
    Instant next_ {};
};

} // namespace swiftlift::config
