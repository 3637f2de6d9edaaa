#include <atomic>
#include <filesystem>
#include <memory>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    /** A request may have so many backend servers end under it, and reaches no more. */
    constexpr std::uint64_t mostCrashes = 3;
    constexpr int repeats = 12;
    /** A caller that asks again; longer than the way of a word from one VM to the others. */
    constexpr std::chrono::milliseconds repeatPause { 300 };

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

        /** Sends the same request again and again, each time as a new attempt at the next VM. */
        CallerAnswer repeat(CallerRequest request, int times)
        {
            CallerAnswer last;
            for (int number = 0; number < times; ++number) {
                request.id = "attempt-" + std::to_string(++attempts_);
                last = fleet_->send(static_cast<std::size_t>(attempts_) % fleet_->routers(), request);
                std::this_thread::sleep_for(repeatPause);
            }
            return last;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        int attempts_ = 0;
    };

    // Guards against: a request that crashes whoever runs it goes on being sent, at every VM where it comes in.
    TEST_F(CrashingRequestTest, ReachesNoFurtherBackendServerAfterThreeHaveEnded)
    {
        std::atomic<bool> over = false;
        std::atomic<int> unrelated = 0;
        std::thread bystander([&] {
            for (; !over; ++unrelated) {
                (void)fleet_->send(static_cast<std::size_t>(unrelated) % fleet_->routers(),
                    stream("other-" + std::to_string(unrelated)));
            }
        });
        const CallerAnswer answer = repeat(stream("poison"), repeats);
        over = true;
        bystander.join();
        EXPECT_LE(fleet_->crashes(), mostCrashes);
        EXPECT_EQ(answer.status, 429U);
        for (std::size_t router = 0; router < fleet_->routers(); ++router) {
            EXPECT_EQ(fleet_->send(router, stream("after-" + std::to_string(router))).status, 200U);
        }
    }

    // Guards against: one attempt of a caller ends as many servers as its route allows, over and over.
    TEST_F(CrashingRequestTest, OwnRepeatsOfARouterCountAsWell)
    {
        (void)repeat({ .path = "/plain/poison" }, repeats);
        EXPECT_LE(fleet_->crashes(), mostCrashes);
        EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "after" }).status, 200U);
    }

    // Guards against: the limit holds for routers that were there, and a fleet that starts anew begins from zero.
    TEST_F(CrashingRequestTest, StaysOutAfterAllRoutersWereKilled)
    {
        (void)repeat(stream("poison"), repeats);
        const std::uint64_t before = fleet_->crashes();
        ASSERT_TRUE(fleet_->restartRouters());
        (void)repeat(stream("poison"), repeats);
        EXPECT_EQ(fleet_->crashes(), before);
    }

} // namespace
} // namespace swiftlift::platform::test
