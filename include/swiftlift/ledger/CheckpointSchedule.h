#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "swiftlift/base/Units.h"

namespace swiftlift::ledger {

/**
 * @brief When it is this router's turn to keep a checkpoint, where nobody reads the others' and so nobody knows of
 * them.
 *
 * What goes wrong with turns at fixed times: routers that start together all keep one within seconds, and then none for
 * as long as a whole round takes, 160 s with 81 routers. One that starts anew meanwhile reads the ledger from its
 * beginning: 15,000 records, 4.5 s on a tenth of a core, during which it serves nobody. One notices by `restored` lines
 * whose `as_of` is far behind. Drawn at random, the first over one round and each later one over two, turns of the
 * fleet come an interval apart in the mean from the start on.
 */
class CheckpointSchedule {
public:
    /**
     * @param interval Between two checkpoints of the fleet.
     * @param seed Of the draws.
     */
    CheckpointSchedule(Duration interval, std::uint64_t seed);

    /**
     * @param routers Of the fleet, as far as is known; at least 1.
     * @return Whether to keep one now; then the next turn has been drawn.
     */
    [[nodiscard]] bool due(Instant now, std::uint32_t routers);

private:
    [[nodiscard]] Instant draw(Instant now, Duration longest);

    Duration interval_;
    std::mt19937_64 random_;
    std::optional<Instant> next_;
};

} // namespace swiftlift::ledger
