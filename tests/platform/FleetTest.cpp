#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "LogLines.h"
#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    constexpr std::chrono::milliseconds maxWait { 60'000 };

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

        /** @return Whether an answer had this status within the wait limit; the request is repeated with new ids. */
        [[nodiscard]] bool sendUntil(std::size_t router, CallerRequest request, unsigned status)
        {
            const auto until = std::chrono::steady_clock::now() + maxWait;
            for (int number = 0; std::chrono::steady_clock::now() < until; ++number) {
                request.id = "until-" + std::to_string(++requestCount_);
                if (fleet_->send(router, request).status == status) {
                    return true;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return false;
        }

        /** @return The first line with this event in the router's log; null if none came within the wait limit. */
        [[nodiscard]] nlohmann::json waitForLogLine(std::size_t router, const std::string& event)
        {
            const auto until = std::chrono::steady_clock::now() + maxWait;
            while (std::chrono::steady_clock::now() < until) {
                if (const auto lines = scenario::linesOfKinds(fleet_->router(router).printed(), { event });
                    !lines.empty()) {
                    return lines.front();
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return nullptr;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        int requestCount_ = 0;
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

    TEST_F(PlatformFleetTest, RefusesUnknownRoutesAndKeys)
    {
        EXPECT_EQ(fleet_->send(0, { .path = "/elsewhere/x", .id = "a" }).status, 404U);
        EXPECT_EQ(fleet_->send(0, { .id = "b", .key = "another" }).status, 401U);
        EXPECT_EQ(fleet_->runsOf("a") + fleet_->runsOf("b"), 0U);
    }

    // Guards against a router that mistakes the tokens that it holds for the whole budget. It would answer with a
    // retry status when the budget is used up, or refuse for lack of budget while tokens are left or the total was
    // raised.
    TEST_F(PlatformFleetTest, RefusesUntilTheUsedUpBudgetIsRaised)
    {
        const CallerRequest large { .path = "/stream/x", .tokens = "30000,35" };
        EXPECT_TRUE(sendUntil(0, large, 402));
        fleet_->publish(1'000'000);
        EXPECT_TRUE(sendUntil(0, large, 200));
    }

    // Guards against a stream that ends early although another engine could have resumed it. The engine closes the
    // connection within its second event; the router must not forward the partial event and has to resume the stream.
    TEST_F(PlatformFleetTest, ResumesAStreamAtAnotherEngine)
    {
        fleet_->engine(0).control({ { "break_next", 1 }, { "half_event", true } });
        fleet_->engine(1).control({ { "break_next", 1 }, { "half_event", true } });
        const CallerAnswer answer = fleet_->send(0, { .path = "/resumable/x", .id = "r", .tokens = "12,35" });
        // Each engine closes the connection once, so the second attempt fails as well. The route allows no third one.
        EXPECT_FALSE(answer.whole);
        const CallerAnswer after = fleet_->send(0, { .path = "/resumable/x", .id = "r2", .tokens = "12,35" });
        EXPECT_TRUE(after.whole);
        EXPECT_NE(after.body.find("id: 5\n"), std::string::npos);
    }

    // Guards against streams and answers without a length that count as broken, as they end with their connection.
    TEST_F(PlatformFleetTest, AnswersThatEndWithTheirConnectionAreWhole)
    {
        for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
            fleet_->engine(engine).control({ { "unframed", true } });
        }
        const CallerAnswer stream = fleet_->send(0, { .path = "/stream/x", .id = "s", .tokens = "12,35" });
        EXPECT_TRUE(stream.whole);
        EXPECT_NE(stream.body.find("id: 5\n"), std::string::npos);
        const CallerAnswer whole = fleet_->send(0, { .path = "/plain/x", .id = "w" });
        EXPECT_EQ(whole.status, 200U);
        EXPECT_TRUE(whole.whole);
        EXPECT_EQ(fleet_->runsOf("s"), 1U);
        EXPECT_EQ(fleet_->runsOf("w"), 1U);
    }

    // Guards against a stream without chunks that is taken for whole although it ended within an event.
    TEST_F(PlatformFleetTest, StreamWithoutChunksThatEndsWithinAnEventIsBrokenOff)
    {
        for (std::size_t engine = 0; engine < 2; ++engine) {
            fleet_->engine(engine).control({ { "unframed", true }, { "break_next", 1 }, { "half_event", true } });
        }
        EXPECT_FALSE(fleet_->send(0, { .path = "/stream/x", .id = "s", .tokens = "12,35" }).whole);
    }

    // Guards against running a request twice that isn't idempotent. The engine runs the request and closes the
    // connection without an answer; a router must not conclude that the request did not run.
    TEST_F(PlatformFleetTest, RetriesOnlyIdempotentRequests)
    {
        constexpr int requestsThatEarnARetry = 10;
        for (int number = 0; number < requestsThatEarnARetry; ++number) {
            EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "earn-" + std::to_string(number) }).status, 200U);
        }
        fleet_->engine(2).control({ { "break_next", 1 } });
        EXPECT_EQ(fleet_->send(0, { .path = "/order/x", .id = "once" }).status, 502U);
        EXPECT_EQ(fleet_->runsOf("once"), 1U);
        fleet_->engine(2).control({ { "break_next", 1 } });
        EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "again" }).status, 200U);
    }

    // Guards against a call to the store for each request: while the store refuses every call, requests would fail
    // although the routers have all the data that is needed.
    TEST_F(PlatformFleetTest, ServesWhileTheStoreIsUnavailable)
    {
        EXPECT_EQ(fleet_->send(0, { .path = "/stream/x", .id = "before", .tokens = "12,35" }).status, 200U);
        fleet_->store().control({ { "turn_away", 503 } });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        EXPECT_EQ(fleet_->send(0, { .path = "/stream/x", .id = "during", .tokens = "12,35" }).status, 200U);
        EXPECT_EQ(fleet_->readiness(0), 200U);
    }

    // Guards against a missing handler for SIGHUP, which the platform sends after a change of settings. The default
    // action of the signal ends the process: all streams of the router are cut, and the router restarts.
    TEST_F(PlatformFleetTest, HangUpSignalReloadsSettingsAndKeepsServing)
    {
        fleet_->router(0).signal(SIGHUP);
        std::ofstream(fleet_->settingsOf(0), std::ios::app) << "logging:\n  level: debug\n";
        fleet_->router(0).signal(SIGHUP);
        EXPECT_TRUE(fleet_->send(0, { .id = "after" }).whole);
        EXPECT_TRUE(fleet_->router(0).running());
    }

    // Guards against a planned stop that cuts answers: SIGTERM comes in the middle of a stream, and the process must
    // not exit before its requests have ended.
    TEST_F(PlatformFleetTest, PlannedStopCompletesRequestsInFlight)
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
        EXPECT_EQ(fleet_->router(0).waitForExit(maxWait), 0);
    }

    // Guards against billing an account for more events of a stream than its caller received. The stream is cut midway
    // at the caller's deadline, and the bill must not be computed before the number of forwarded events is final.
    TEST_F(PlatformFleetTest, CutStreamIsBilledForForwardedEvents)
    {
        fleet_->engine(0).control({ { "between_events_ms", 400 } });
        fleet_->engine(1).control({ { "between_events_ms", 400 } });
        const CallerAnswer answer
            = fleet_->send(0, { .path = "/stream/x", .id = "cut", .tokens = "12,35", .deadlineMs = 1000 });
        EXPECT_FALSE(answer.whole);
        const nlohmann::json cut = waitForLogLine(0, "cut_billed");
        ASSERT_TRUE(cut.is_object());
        const auto events = cut["events"].get<std::uint64_t>();
        EXPECT_GT(events, 0U);
        EXPECT_LE(events, fleet_->eventsOf("cut")) << "no more than the engine made";
        EXPECT_EQ(cut["billed"], 12 + events * 7);
        EXPECT_LT(cut["billed"], 12 + 35) << "less than the longest answer";
    }

    // Guards against sending requests to an engine whose entry says that it is draining, because the routers rely on
    // the success of their last request to it.
    TEST_F(PlatformFleetTest, DrainingEngineGetsNoNewRequests)
    {
        fleet_->registerEngine(2, "draining");
        EXPECT_TRUE(sendUntil(0, {}, 200));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (int number = 0; number < 10; ++number) {
            const CallerAnswer answer = fleet_->send(0, { .id = "l" + std::to_string(number) });
            EXPECT_EQ(answer.body, "served by i-3");
        }
    }

    /** The plain engines are `i-2` in regina-a and `i-3` in regina-b. */
    class EvacuationTest : public PlatformFleetTest {
    protected:
        /** @return The engines that answered ten requests. */
        [[nodiscard]] std::set<std::string> answeringEngines(std::size_t router)
        {
            std::set<std::string> engines;
            for (int number = 0; number < 10; ++number) {
                engines.insert(fleet_->send(router, { .id = "e" + std::to_string(++requestCount_) }).body);
            }
            return engines;
        }

        static inline const std::set<std::string> onlyB { "served by i-3" };
    };

    TEST_F(EvacuationTest, EvacuatedDomainGetsNothingUntilItIsTakenBack)
    {
        fleet_->evacuate("regina-a");
        ASSERT_TRUE(waitForLogLine(0, "evacuation").is_object());
        ASSERT_TRUE(waitForLogLine(1, "evacuation").is_object());
        EXPECT_EQ(answeringEngines(0), onlyB);
        EXPECT_EQ(answeringEngines(1), onlyB);
        fleet_->endEvacuation("regina-a");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        EXPECT_TRUE(answeringEngines(0).contains("served by i-2"));
    }

    // Guards against a router that serves before it knows of an evacuation: it restarts while the store is away, and
    // its peer can give it the configuration.
    TEST_F(EvacuationTest, RouterThatRestartsDuringAnOutageKeepsToTheEvacuation)
    {
        fleet_->evacuate("regina-a");
        ASSERT_TRUE(waitForLogLine(0, "evacuation").is_object());
        ASSERT_TRUE(waitForLogLine(1, "evacuation").is_object());
        fleet_->store().control({ { "turn_away", 503 } });
        fleet_->router(0).kill();
        fleet_->startRouter(0);
        EXPECT_EQ(answeringEngines(1), onlyB);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        for (const std::string& body : answeringEngines(0)) {
            EXPECT_FALSE(body == "served by i-2");
        }
        fleet_->store().control({ { "turn_away", 0 } });
        ASSERT_TRUE(fleet_->waitForReadiness(0, 200));
        EXPECT_EQ(answeringEngines(0), onlyB);
    }

    // Guards against callers that wait for a service whose servers are all evacuated, and against a refusal whose lines
    // don't tell why.
    TEST_F(EvacuationTest, ServiceInEvacuatedDomainsRefusesAtOnceAndSaysWhy)
    {
        fleet_->evacuate("regina-a");
        fleet_->evacuate("regina-b");
        ASSERT_TRUE(sendUntil(0, {}, 503));
        const nlohmann::json refusal = waitForLogLine(0, "refuse");
        ASSERT_TRUE(refusal.is_object());
        EXPECT_EQ(refusal["reason"], "no_backend") << refusal.dump() << waitForLogLine(0, "evacuation").dump();
        EXPECT_EQ(refusal["detail"], "2 in an evacuated domain");
        EXPECT_EQ(refusal["outcome"], "not_run");
    }

} // namespace
} // namespace swiftlift::platform::test
