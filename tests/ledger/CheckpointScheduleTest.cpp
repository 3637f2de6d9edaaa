#include "swiftlift/ledger/CheckpointSchedule.h"

#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::ledger {
namespace {

    using namespace std::chrono_literals;

    /** @return Times at which any of the routers, which start together, wrote a checkpoint. */
    std::vector<Instant> checkpointTimes(std::uint32_t routers, Duration duration)
    {
        std::vector<CheckpointSchedule> fleet;
        for (std::uint32_t router = 0; router < routers; ++router) {
            fleet.emplace_back(2s, 1 + router);
        }
        std::vector<Instant> times;
        for (Instant now { 100s }; now < Instant { 100s } + duration; now += 50ms) {
            for (CheckpointSchedule& schedule : fleet) {
                if (schedule.due(now, routers)) {
                    times.push_back(now);
                }
            }
        }
        return times;
    }

    // All VMs lost power 55 s after 81 routers had started together. Each router had written a checkpoint within its
    // first 3 s and was due for the next one a whole round, 162 s, later. The routers had to read all records since,
    // and the first request was served 5 s after the restart.
    TEST(CheckpointScheduleTest, SpreadsCheckpointsOfRoutersThatStartTogether)
    {
        const std::vector<Instant> times = checkpointTimes(81, 60s);
        EXPECT_GT(times.size(), 15U);
        EXPECT_LT(times.size(), 60U);
        Instant previous { 100s };
        for (const Instant time : times) {
            EXPECT_LT(time - previous, 15s);
            previous = time;
        }
    }

    TEST(CheckpointScheduleTest, CheckpointsOfASingleRouterAreOneIntervalApartOnAverage)
    {
        const std::size_t count = checkpointTimes(1, 200s).size();
        EXPECT_GT(count, 70U);
        EXPECT_LT(count, 140U);
    }

} // namespace
} // namespace swiftlift::ledger
