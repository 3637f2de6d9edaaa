#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Time within which a fleet serves again after all its routers have started. */
    constexpr seconds recoveryTime { 12 };

    /** Four routers whose settings name no seeds, as when the platform has no VM to name. */
    class SeedlessFleetTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-seedless-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 100'000'000,
                FleetSize { .routers = 4, .modelEngines = 2, .links = true, .seeds = false });
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        /** @return Whether the router serves a request before this time. */
        bool serves(std::size_t router, Clock::time_point until)
        {
            while (Clock::now() < until) {
                const std::string id = "r-" + std::to_string(++requests_);
                const CallerAnswer answer
                    = fleet_->send(router, { .path = "/stream/x", .id = id, .tokens = "12,35", .deadlineMs = 1000 });
                if (answer.status == 200U && answer.whole) {
                    return true;
                }
                EXPECT_TRUE(answer.status == 503U || answer.status == 429U || answer.status == 0U) << answer.status;
                std::this_thread::sleep_for(milliseconds(50));
            }
            return false;
        }

        void expectAllServe(Clock::time_point until)
        {
            for (std::size_t router = 0; router < fleet_->routers(); ++router) {
                EXPECT_TRUE(serves(router, until)) << "router " << router;
                EXPECT_TRUE(fleet_->router(router).running()) << "router " << router;
            }
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        int requests_ = 0;
    };

    // Guards against routers that end, or stay alone, when the platform has no VM to name as a seed.
    TEST_F(SeedlessFleetTest, RoutersServeAndFindEachOther)
    {
        fleet_->begin();
        const auto until = Clock::now() + recoveryTime;
        expectAllServe(until);
        // Without links to the engines, only a router that knows a peer can serve.
        fleet_->cutFromEngines(0, "refuse");
        EXPECT_TRUE(serves(0, until));
    }

    // Guards against a fleet that stays apart for good because the log was unavailable when it started without seeds.
    TEST_F(SeedlessFleetTest, LogIsUnavailableAtTheStart)
    {
        fleet_->store().control({ { "turn_away", 503 } });
        fleet_->begin();
        std::this_thread::sleep_for(seconds(6));
        fleet_->store().control({ { "turn_away", 0 } });
        const auto until = Clock::now() + recoveryTime;
        expectAllServe(until);
        fleet_->cutFromEngines(0, "refuse");
        EXPECT_TRUE(serves(0, until));
    }

    // Guards against routers that end again each time they are restarted without a seed.
    TEST_F(SeedlessFleetTest, AllRoutersAreKilled)
    {
        ASSERT_TRUE(fleet_->start());
        for (std::size_t router = 0; router < fleet_->routers(); ++router) {
            fleet_->router(router).kill();
            fleet_->startRouter(router);
        }
        expectAllServe(Clock::now() + recoveryTime);
    }

} // namespace
} // namespace swiftlift::platform::test
