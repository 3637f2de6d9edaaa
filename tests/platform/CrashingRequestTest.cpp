#include <atomic>
#include <filesystem>
#include <memory>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    /** Number of backend servers that may crash under a request before it is quarantined. */
    constexpr std::uint64_t maxCrashes = 3;
    /** Number of attempts of the caller. */
    constexpr int attemptCount = 12;
    /** Time between two attempts of a caller; longer than a crash report takes from one VM to the others. */
    constexpr std::chrono::milliseconds retryInterval { 300 };

    class CrashingRequestTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-crashing-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 3, 8, 4 });
            ASSERT_TRUE(fleet_->start());
            for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
                fleet_->engine(engine).control({ { "crash_on", "poison" } });
            }
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        [[nodiscard]] static CallerRequest stream(const std::string& name)
        {
            return { .path = "/stream/" + name, .id = name, .tokens = "12,35", .deadlineMs = 2000 };
        }

        /**
         * Sends the same request repeatedly, each time with a new id and to the next router.
         * @return The last answer.
         */
        CallerAnswer repeat(CallerRequest request, int times)
        {
            CallerAnswer last;
            for (int number = 0; number < times; ++number) {
                request.id = "attempt-" + std::to_string(++attempts_);
                last = fleet_->send(static_cast<std::size_t>(attempts_) % fleet_->routers(), request);
                std::this_thread::sleep_for(retryInterval);
            }
            return last;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        int attempts_ = 0;
    };

    // Guards against a request that crashes each backend server that runs it and is still dispatched by every router
    // that receives it.
    TEST_F(CrashingRequestTest, IsQuarantinedAfterThreeCrashes)
    {
        std::atomic<bool> stopped = false;
        std::atomic<int> otherRequests = 0;
        std::thread otherCaller([&] {
            for (; !stopped; ++otherRequests) {
                (void)fleet_->send(static_cast<std::size_t>(otherRequests) % fleet_->routers(),
                    stream("other-" + std::to_string(otherRequests)));
            }
        });
        const CallerAnswer answer = repeat(stream("poison"), attemptCount);
        stopped = true;
        otherCaller.join();
        EXPECT_LE(fleet_->crashes(), maxCrashes);
        EXPECT_EQ(answer.status, 429U);
        for (std::size_t router = 0; router < fleet_->routers(); ++router) {
            EXPECT_EQ(fleet_->send(router, stream("after-" + std::to_string(router))).status, 200U);
        }
    }

    // Guards against a caller whose every attempt crashes as many backend servers as the route allows attempts.
    TEST_F(CrashingRequestTest, RouterRetriesCountTowardsTheLimit)
    {
        (void)repeat({ .path = "/plain/poison" }, attemptCount);
        EXPECT_LE(fleet_->crashes(), maxCrashes);
        EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "after" }).status, 200U);
    }

    // Guards against counts of crashes that exist only in the routers' memory and start from zero after a restart.
    TEST_F(CrashingRequestTest, StaysQuarantinedAfterRestartOfAllRouters)
    {
        (void)repeat(stream("poison"), attemptCount);
        const std::uint64_t before = fleet_->crashes();
        ASSERT_TRUE(fleet_->restartRouters());
        (void)repeat(stream("poison"), attemptCount);
        EXPECT_EQ(fleet_->crashes(), before);
    }

} // namespace
} // namespace swiftlift::platform::test
