#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/**
 * @brief Decides when this router writes a checkpoint, without knowledge of the other routers' checkpoints.
 *
 * The first delay is drawn at random from one round (`interval` times the number of routers), and each later delay from
 * two rounds. The checkpoints of the fleet are thus one interval apart on average from the start.
 *
 * With fixed delays, routers that start together would all write a checkpoint within seconds, and none for the rest of
 * the round, 160 s with 81 routers. A router that restarts in that time reads the ledger from its beginning: 15,000
 * records, which take 4.5 s on a tenth of a core, during which the router serves no requests. The symptom is a
 * `restored` log line with an `as_of` far behind the end of the log.
 */
class CheckpointSchedule {
public:
    /**
     * @param interval Mean time between two checkpoints of the fleet.
     * @param seed Seed of the random delays.
     */
    CheckpointSchedule(Duration interval, std::uint64_t seed);

    /**
     * @param now Current time.
     * @param routers Known number of routers in the fleet; at least 1.
     * @return Whether a checkpoint is due now. If so, the time of the next checkpoint has been drawn.
     */
    [[nodiscard]] bool due(Instant now, std::uint32_t routers);

private:
    /** @return A random time between `now` and `now + maxDelay`. */
    [[nodiscard]] Instant drawDueTime(Instant now, Duration maxDelay);

    Duration interval_;
    std::mt19937_64 random_;
    std::optional<Instant> nextDue_;
};

} // namespace swiftlift::ledger
