#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "LogLines.h"
#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    constexpr std::chrono::milliseconds longBound { 60'000 };

    class PlatformFleetTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-platform-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 100'000);
            ASSERT_TRUE(fleet_->start());
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        /** Sends until the answer has this status. */
        [[nodiscard]] bool sendUntil(std::size_t router, CallerRequest request, unsigned status)
        {
            const auto until = std::chrono::steady_clock::now() + longBound;
            for (int number = 0; std::chrono::steady_clock::now() < until; ++number) {
                request.id = "until-" + std::to_string(++sent_);
                if (fleet_->send(router, request).status == status) {
                    return true;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return false;
        }

        /** @return The first line of this kind in the router's log, once there is one; null when none came. */
        [[nodiscard]] nlohmann::json lineOf(std::size_t router, const std::string& kind)
        {
            const auto until = std::chrono::steady_clock::now() + longBound;
            while (std::chrono::steady_clock::now() < until) {
                if (const auto lines = scenario::linesOfKinds(fleet_->router(router).printed(), { kind });
                    !lines.empty()) {
                    return lines.front();
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return nullptr;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        int sent_ = 0;
    };

    TEST_F(PlatformFleetTest, ServesWholeAnswersAndStreamsOfEvents)
    {
        const CallerAnswer plain = fleet_->send(0, {});
        EXPECT_EQ(plain.status, 200U);
        EXPECT_TRUE(plain.body.starts_with("served by i-")) << plain.body;
        const CallerAnswer stream = fleet_->send(1, { .path = "/stream/x", .id = "s1", .tokens = "12,35" });
        EXPECT_EQ(stream.status, 200U);
        EXPECT_TRUE(stream.body.starts_with("id: 1\n")) << stream.body;
        EXPECT_NE(stream.body.find("id: 5\n"), std::string::npos) << stream.body;
    }

    TEST_F(PlatformFleetTest, RefusesWhatTheConfigurationDoesNotAllow)
    {
        EXPECT_EQ(fleet_->send(0, { .path = "/elsewhere/x", .id = "a" }).status, 404U);
        EXPECT_EQ(fleet_->send(0, { .id = "b", .key = "another" }).status, 401U);
        EXPECT_EQ(fleet_->runsOf("a") + fleet_->runsOf("b"), 0U);
    }

    // Symptom: a caller whose money is used up is told to come back, or one that has money is told to pay.
    // Events: requests until the budget is used up; the operator raises its total.
    // Cause: a router took what it holds itself for the whole budget.
    TEST_F(PlatformFleetTest, BudgetEndsAndIsRaised)
    {
        const CallerRequest large { .path = "/stream/x", .tokens = "30000,35" };
        EXPECT_TRUE(sendUntil(0, large, 402));
        fleet_->publish(1'000'000);
        EXPECT_TRUE(sendUntil(0, large, 200));
    }

    // Symptom: a stream ends half way though another engine could have gone on.
    // Events: the engine closes within its second event.
    // Cause: the half event was passed on, or nobody resumed.
    TEST_F(PlatformFleetTest, ResumesAStreamElsewhereAfterItsLastWholeEvent)
    {
        fleet_->engine(0).control({ { "break_next", 1 }, { "half_event", true } });
        fleet_->engine(1).control({ { "break_next", 1 }, { "half_event", true } });
        const CallerAnswer answer = fleet_->send(0, { .path = "/resumable/x", .id = "r", .tokens = "12,35" });
        // Both engines break off once: the second attempt ends early as well, and the route allows no third.
        EXPECT_FALSE(answer.whole);
        const CallerAnswer after = fleet_->send(0, { .path = "/resumable/x", .id = "r2", .tokens = "12,35" });
        EXPECT_TRUE(after.whole);
        EXPECT_NE(after.body.find("id: 5\n"), std::string::npos);
    }

    // Symptom: an order is placed twice.
    // Events: the engine runs a request that may run once, and closes without an answer.
    // Cause: no answer was taken for not run.
    TEST_F(PlatformFleetTest, WhatMayRunOnceIsNotRepeated)
    {
        fleet_->engine(2).control({ { "break_next", 1 } });
        EXPECT_EQ(fleet_->send(0, { .path = "/order/x", .id = "once" }).status, 502U);
        EXPECT_EQ(fleet_->runsOf("once"), 1U);
        fleet_->engine(2).control({ { "break_next", 1 } });
        EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "again" }).status, 200U);
    }

    // Symptom: requests fail while the store is out of reach, though all that they need is known.
    // Events: the store turns every call away.
    // Cause: routers asked it for each request.
    TEST_F(PlatformFleetTest, GoesOnServingWhileTheStoreIsOutOfReach)
    {
        EXPECT_EQ(fleet_->send(0, { .path = "/stream/x", .id = "before", .tokens = "12,35" }).status, 200U);
        fleet_->store().control({ { "turn_away", 503 } });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        EXPECT_EQ(fleet_->send(0, { .path = "/stream/x", .id = "during", .tokens = "12,35" }).status, 200U);
        EXPECT_EQ(fleet_->readiness(0), 200U);
    }

    // Symptom: every stream of a router is cut, and the router starts anew.
    // Events: the platform sends SIGHUP to tell of changed settings.
    // Cause: nobody took the signal, and its default ends the process.
    TEST_F(PlatformFleetTest, HangUpSignalReloadsAndCutsNothing)
    {
        fleet_->router(0).signal(SIGHUP);
        std::ofstream(fleet_->settingsOf(0), std::ios::app) << "logging:\n  level: debug\n";
        fleet_->router(0).signal(SIGHUP);
        EXPECT_TRUE(fleet_->send(0, { .id = "after" }).whole);
        EXPECT_TRUE(fleet_->router(0).running());
    }

    // Symptom: answers in progress are cut by a planned stop.
    // Events: SIGTERM in the middle of a stream.
    // Cause: the process left before its requests had ended.
    TEST_F(PlatformFleetTest, PlannedStopCutsNothing)
    {
        fleet_->engine(0).control({ { "between_events_ms", 200 } });
        fleet_->engine(1).control({ { "between_events_ms", 200 } });
        CallerAnswer answer;
        std::thread caller([&] { answer = fleet_->send(0, { .path = "/stream/x", .id = "long", .tokens = "12,35" }); });
        while (fleet_->runsOf("long") == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        fleet_->router(0).signal(SIGTERM);
        EXPECT_TRUE(fleet_->waitForReadiness(0, 503));
        caller.join();
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(fleet_->router(0).waitForExit(longBound), 0);
    }

    // Symptom: an account pays for more of a stream than its caller got.
    // Events: the stream is given up midway, at the caller's deadline.
    // Cause: the bill was made before it was known how many events had been passed on.
    TEST_F(PlatformFleetTest, CutStreamIsBilledForTheEventsThatItsCallerGot)
    {
        fleet_->engine(0).control({ { "between_events_ms", 400 } });
        fleet_->engine(1).control({ { "between_events_ms", 400 } });
        const CallerAnswer answer
            = fleet_->send(0, { .path = "/stream/x", .id = "cut", .tokens = "12,35", .deadlineMs = 1000 });
        EXPECT_FALSE(answer.whole);
        const nlohmann::json cut = lineOf(0, "cut_billed");
        ASSERT_TRUE(cut.is_object());
        const auto events = cut["events"].get<std::uint64_t>();
        EXPECT_GT(events, 0U);
        EXPECT_LE(events, fleet_->eventsOf("cut")) << "no more than the engine made";
        EXPECT_EQ(cut["billed"], 12 + events * 7);
        EXPECT_LT(cut["billed"], 12 + 35) << "less than the longest answer";
    }

    // Symptom: an engine that announced its leaving is still given requests.
    // Events: its entry says so, or ends.
    // Cause: routers went by their last request to it.
    TEST_F(PlatformFleetTest, LeavingEngineGetsNothingNew)
    {
        fleet_->registerEngine(2, "draining");
        EXPECT_TRUE(sendUntil(0, {}, 200));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (int number = 0; number < 10; ++number) {
            const CallerAnswer answer = fleet_->send(0, { .id = "l" + std::to_string(number) });
            EXPECT_EQ(answer.body, "served by i-3");
        }
    }

} // namespace
} // namespace swiftlift::platform::test
