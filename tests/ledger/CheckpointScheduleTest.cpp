#include "swiftlift/ledger/CheckpointSchedule.h"

#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::ledger {
namespace {

    using namespace std::chrono_literals;

    /** @return Moments at which any of the routers, started together, kept a checkpoint. */
    std::vector<Instant> keptBy(std::uint32_t routers, Duration time)
    {
        std::vector<CheckpointSchedule> fleet;
        for (std::uint32_t router = 0; router < routers; ++router) {
            fleet.emplace_back(2s, 1 + router);
        }
        std::vector<Instant> kept;
        for (Instant now { 100s }; now < Instant { 100s } + time; now += 50ms) {
            for (CheckpointSchedule& turns : fleet) {
                if (turns.due(now, routers)) {
                    kept.push_back(now);
                }
            }
        }
        return kept;
    }

    // Symptom: after a loss of power of all VMs, 5 s go by until the first request is served.
    // Events: 81 routers started together 55 s before; each kept a checkpoint within its first 3 s, and none since.
    // Cause: the next turn of each was a whole round, 162 s, later.
    TEST(CheckpointScheduleTest, ComeOneAfterTheOtherAlsoWhenAllStartTogether)
    {
        const std::vector<Instant> kept = keptBy(81, 60s);
        EXPECT_GT(kept.size(), 15U);
        EXPECT_LT(kept.size(), 60U);
        Instant before { 100s };
        for (const Instant moment : kept) {
            EXPECT_LT(moment - before, 15s);
            before = moment;
        }
    }

    TEST(CheckpointScheduleTest, OneRouterAloneKeepsThemAnIntervalApartInTheMean)
    {
        const std::size_t kept = keptBy(1, 200s).size();
        EXPECT_GT(kept, 70U);
        EXPECT_LT(kept, 140U);
    }

} // namespace
} // namespace swiftlift::ledger
