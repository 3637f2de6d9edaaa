#include <atomic>
#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::milliseconds;

    /** Backend servers that may crash under requests with one part in their prompts before these are held back. */
    constexpr std::uint64_t maxCrashes = 5;
    /** Requests that may still reach servers, later than the contact time after the fifth crash. */
    constexpr std::uint64_t maxLater = 3;
    /** Time after which all VMs know of a crash. */
    constexpr milliseconds contactTime { 3000 };
    constexpr const char* part = "dead0001";

    /** Real routers, and engines that crash when they run a request with a named part in its prompt. */
    class CrashingPromptPartTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-part-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 3, 8, 1 });
            ASSERT_TRUE(fleet_->start());
        }

        void TearDown() override
        {
            stopped_ = true;
            for (std::thread& caller : callers_) {
                caller.join();
            }
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        void crashEnginesOn(const std::string& text, bool afterEvent = false)
        {
            for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
                fleet_->engine(engine).control({ { "crash_on", text }, { "crash_after_event", afterEvent } });
            }
        }

        /** Sends a request with this second part, to the routers in turn; no two have the same last part. */
        CallerAnswer send(const std::string& second)
        {
            const int number = ++requests_;
            return fleet_->send(static_cast<std::size_t>(number) % fleet_->routers(),
                { .path = "/stream/" + std::to_string(number),
                    .id = "r-" + std::to_string(number),
                    .tokens = "12,35",
                    .deadlineMs = 2000,
                    .body = "{\"n\":" + std::to_string(number) + "}",
                    .prefix = "5c1e07a2:4," + second + ":4," + std::to_string(100'000 + number) + ":4" });
        }

        /** Sends sound requests with the same first part and key all the time. */
        void startSoundCaller(const std::string& second)
        {
            callers_.emplace_back([this, second] {
                while (!stopped_) {
                    ++sound_;
                    served_ += send(second).status == 200U ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds(10));
                }
            });
        }

        /** Sends requests with the part for this long. */
        void sendGuilty(milliseconds time, milliseconds gap = milliseconds(150), const std::string& second = part)
        {
            const auto end = std::chrono::steady_clock::now() + time;
            while (std::chrono::steady_clock::now() < end) {
                (void)send(second);
                std::this_thread::sleep_for(gap);
            }
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::vector<std::thread> callers_;
        std::atomic<bool> stopped_ = false;
        std::atomic<int> requests_ = 0;
        std::atomic<int> sound_ = 0;
        std::atomic<int> served_ = 0;
    };

    // Guards against requests that share one part of their prompts, no two alike, and crash one server after the other.
    TEST_F(CrashingPromptPartTest, RequestsWithThePartAreHeldBackAndSoundOnesServed)
    {
        startSoundCaller("50000001");
        startSoundCaller("50000002");
        std::this_thread::sleep_for(milliseconds(500));
        crashEnginesOn(part);
        sendGuilty(contactTime);
        const std::uint64_t before = fleet_->crashes();
        sound_ = 0;
        served_ = 0;
        sendGuilty(contactTime);
        EXPECT_LE(fleet_->crashes() - before, maxLater);
        EXPECT_LE(before, maxCrashes + maxLater);
        EXPECT_EQ(send(part).status, 429U);
        EXPECT_GE(served_ * 10, sound_ * 9);
    }

    // Guards against a part whose requests count as answered because they give an event before they crash the server.
    TEST_F(CrashingPromptPartTest, EventsBeforeTheCrashAreNoAnswer)
    {
        startSoundCaller("50000001");
        std::this_thread::sleep_for(milliseconds(500));
        crashEnginesOn(part, true);
        sendGuilty(contactTime);
        const std::uint64_t before = fleet_->crashes();
        sendGuilty(contactTime);
        EXPECT_LE(fleet_->crashes() - before, maxLater);
    }

    // Guards against streams that end with their connection, so that each crash after an event looks like their end.
    TEST_F(CrashingPromptPartTest, CrashesThatLookLikeTheEndOfAStreamCount)
    {
        for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
            fleet_->engine(engine).control({ { "unframed", true } });
        }
        startSoundCaller("50000001");
        startSoundCaller("50000002");
        std::this_thread::sleep_for(milliseconds(500));
        crashEnginesOn(part, true);
        sendGuilty(contactTime + contactTime);
        const std::uint64_t before = fleet_->crashes();
        sound_ = 0;
        served_ = 0;
        sendGuilty(contactTime);
        EXPECT_LE(fleet_->crashes() - before, maxLater);
        EXPECT_GE(served_ * 10, sound_ * 9);
    }

    // Guards against knowledge of a part that is lost when all routers restart.
    TEST_F(CrashingPromptPartTest, PartStaysHeldBackAfterRestartOfAllRouters)
    {
        crashEnginesOn(part);
        sendGuilty(contactTime);
        ASSERT_TRUE(fleet_->restartRouters());
        const std::uint64_t before = fleet_->crashes();
        sendGuilty(contactTime);
        EXPECT_LE(fleet_->crashes() - before, maxLater);
    }

    // Guards against a second part that goes unnoticed beside the first.
    TEST_F(CrashingPromptPartTest, TwoPartsAtOnceAreBothHeldBack)
    {
        const std::string other = "dead0002";
        startSoundCaller("50000001");
        std::this_thread::sleep_for(milliseconds(500));
        crashEnginesOn("dead000");
        std::thread second([&] { sendGuilty(contactTime + contactTime, milliseconds(150), other); });
        sendGuilty(contactTime + contactTime);
        second.join();
        const std::uint64_t before = fleet_->crashes();
        sound_ = 0;
        served_ = 0;
        sendGuilty(contactTime);
        EXPECT_LE(fleet_->crashes() - before, maxLater);
        EXPECT_EQ(send(part).status, 429U);
        EXPECT_EQ(send(other).status, 429U);
        EXPECT_GE(served_ * 10, sound_ * 9);
    }

} // namespace
} // namespace swiftlift::platform::test
