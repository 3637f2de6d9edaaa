#include <algorithm>
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

    using std::chrono::milliseconds;

    /** Number of streams that are taken up again in each test. */
    constexpr int streamCount = 6;
    /** Of 20 streams whose version is in reach, at most one may not go on. */
    constexpr int minGoingOn = streamCount * 19 / 20;
    constexpr std::size_t firstRouter = 0;

    /** Three routers and two model engines of each of three versions; plain engines are of one. */
    class MixedVersionsTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-versions-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 3, 6, 2 });
            ASSERT_TRUE(fleet_->start());
            for (std::size_t engine = 0; engine < modelEngines; ++engine) {
                fleet_->engine(engine).control({ { "events", 150 }, { "between_events_ms", 5 } });
                fleet_->setVersion(engine, "v" + std::to_string(1 + engine / 2));
            }
            // The routers read the list of VMs every three seconds.
            std::this_thread::sleep_for(milliseconds(4000));
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        [[nodiscard]] static CallerRequest stream(int number)
        {
            return { .path = "/resumable/x",
                .id = "stream-" + std::to_string(number),
                .tokens = "12,1050",
                .prefix = "5c1e07a" + std::to_string(number) + ":8,e4402b7d:4" };
        }

        [[nodiscard]] static CallerRequest takeUpOf(const CallerRequest& first)
        {
            CallerRequest second = first;
            second.id = first.id + "-again";
            second.resumes = first.id;
            second.lastEvent = "2";
            return second;
        }

        /**
         * A stream begins at the first router; once some events were sent, `interrupt` ends it.
         * @return The engine that began it.
         */
        template <typename Interrupt> std::size_t beginAndInterrupt(const CallerRequest& request, Interrupt interrupt)
        {
            constexpr std::uint64_t eventsBefore = 20;
            std::thread caller([&] { (void)fleet_->send(firstRouter, request); });
            const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
            while (fleet_->eventsOf(request.id) < eventsBefore && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            const auto engine = fleet_->engineOf(request.id);
            EXPECT_TRUE(engine.has_value());
            interrupt(engine.value_or(0));
            caller.join();
            return engine.value_or(0);
        }

        /** @return Whether the answer has events of no other version. */
        [[nodiscard]] static bool isOfVersion(const CallerAnswer& answer, const std::string& version)
        {
            for (const char* other : { "v1", "v2", "v3" }) {
                if (other != version && answer.body.find(std::string("piece ") + other) != std::string::npos) {
                    return false;
                }
            }
            return true;
        }

        static constexpr std::size_t modelEngines = 6;
        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against mixed streams after a router was killed: its callers come to another one, which has no memory of
    // them, and the engine that began them is leaving.
    TEST_F(MixedVersionsTest, TakeUpAfterTheFirstRouterWasKilledGoesOnAtItsVersion)
    {
        int goingOn = 0;
        for (int number = 0; number < streamCount; ++number) {
            const CallerRequest first = stream(number);
            const std::size_t engine = beginAndInterrupt(first, [&](std::size_t began) {
                fleet_->router(firstRouter).kill();
                fleet_->registerEngine(began, "draining");
            });
            std::this_thread::sleep_for(milliseconds(1200));
            const CallerAnswer answer = fleet_->send(1 + static_cast<std::size_t>(number) % 2, takeUpOf(first));
            EXPECT_TRUE(isOfVersion(answer, fleet_->versionOf(engine))) << first.id;
            goingOn += answer.status == 200U ? 1 : 0;
            fleet_->registerEngine(engine, "ready");
            fleet_->startRouter(firstRouter);
            ASSERT_TRUE(fleet_->waitForReadiness(firstRouter, 200));
            std::this_thread::sleep_for(milliseconds(1000));
        }
        EXPECT_GE(goingOn, minGoingOn);
    }

    // Guards against a stream that goes on at another version, or waits, once the last engine of its version is gone.
    TEST_F(MixedVersionsTest, StreamWhoseVersionIsGoneIsRefusedAtOnce)
    {
        const CallerRequest first = stream(1);
        const std::size_t engine = beginAndInterrupt(first, [&](std::size_t) { fleet_->router(firstRouter).kill(); });
        const std::string version = fleet_->versionOf(engine);
        for (std::size_t other = 0; other < modelEngines; ++other) {
            if (fleet_->versionOf(other) == version) {
                fleet_->unregisterEngine(other);
            }
        }
        std::this_thread::sleep_for(milliseconds(3500));
        const auto before = std::chrono::steady_clock::now();
        const CallerAnswer answer = fleet_->send(1, takeUpOf(first));
        EXPECT_EQ(answer.status, 503U);
        EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(500));
        EXPECT_EQ(fleet_->runsOf(first.id + "-again"), 0U) << "the refusal says that it has not run";
    }

    // Guards against mixed streams while the store is silent, and the router that began them is alive.
    TEST_F(MixedVersionsTest, TakeUpWhileTheStoreIsAwayGoesOnAtItsVersion)
    {
        fleet_->store().control({ { "turn_away", 503 } });
        int goingOn = 0;
        for (int number = 0; number < streamCount; ++number) {
            const CallerRequest first = stream(number);
            const std::size_t engine = beginAndInterrupt(first, [&](std::size_t began) {
                fleet_->engine(began).control({ { "break_next", 0 } });
            });
            std::this_thread::sleep_for(milliseconds(100));
            const CallerAnswer answer = fleet_->send(1 + static_cast<std::size_t>(number) % 2, takeUpOf(first));
            EXPECT_TRUE(isOfVersion(answer, fleet_->versionOf(engine))) << first.id;
            goingOn += answer.status == 200U ? 1 : 0;
        }
        EXPECT_GE(goingOn, minGoingOn);
    }

} // namespace
} // namespace swiftlift::platform::test
