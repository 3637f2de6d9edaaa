#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
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

    constexpr std::size_t routerCount = 3;
    constexpr std::size_t modelEngines = 6;
    /** The last engines of the service are replaced by ones of the new version. */
    constexpr std::size_t newEngines = 3;
    /** Streams that begin at the new version, and break. */
    constexpr std::size_t streamCount = 8;
    /** This router misses the release. */
    constexpr std::size_t outOfStep = 0;
    /** At this router the streams begin. */
    constexpr std::size_t first = 1;
    constexpr std::size_t other = 2;
    constexpr std::int64_t budget = 100'000'000;

    /** Three routers, of which one stands still while half of the model engines come to be of a new version. */
    class OutOfStepRouterTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-out-of-step-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(
                SWIFTLIFT_ROUTER, folder_, budget, FleetSize { routerCount, modelEngines, 1 });
            ASSERT_TRUE(fleet_->start());
            setEvents(4);
            // Routers that serve hold tokens, so that they aren't the reason for a refusal later.
            for (std::size_t router = 0; router < routerCount; ++router) {
                serveSome(router);
            }
            setEvents(300);
            // The routers read the list of VMs every three seconds.
            std::this_thread::sleep_for(milliseconds(3500));
        }

        void TearDown() override
        {
            for (std::size_t router = 0; router < routerCount; ++router) {
                fleet_->router(router).signal(SIGCONT);
            }
            fleet_.reset();
            if (!HasFailure()) {
                std::filesystem::remove_all(folder_);
            }
        }

        void setEvents(int events)
        {
            for (std::size_t engine = 0; engine < modelEngines; ++engine) {
                fleet_->engine(engine).control({ { "events", events }, { "between_events_ms", 10 } });
            }
        }

        [[nodiscard]] static CallerRequest stream(const std::string& id, std::size_t number)
        {
            return { .path = "/resumable/x",
                .id = id,
                .tokens = "12,2100",
                .prefix = "5c1e07a" + std::to_string(number) + ":8,e4402b7d:4" };
        }

        void serveSome(std::size_t router)
        {
            constexpr std::size_t requests = 20;
            std::vector<std::thread> callers;
            for (std::size_t number = 0; number < requests; ++number) {
                callers.emplace_back([this, router, number] {
                    const std::string id = "early-" + std::to_string(router) + "-" + std::to_string(number);
                    static_cast<void>(fleet_->send(router, stream(id, number)));
                });
            }
            for (std::thread& caller : callers) {
                caller.join();
            }
        }

        /** Half of the engines are replaced; the new ones have ids of their own, as each start of an engine has. */
        void release()
        {
            for (std::size_t engine = modelEngines - newEngines; engine < modelEngines; ++engine) {
                fleet_->unregisterEngine(engine);
                fleet_->registerAs(engine, "new-" + std::to_string(engine), "v2");
            }
            std::this_thread::sleep_for(milliseconds(2500));
        }

        /** Streams begin at the first router. @return Those that run at the new version, when the router is killed. */
        [[nodiscard]] std::vector<CallerRequest> beginAndKillFirst()
        {
            constexpr std::size_t begun = 4 * streamCount;
            std::vector<CallerRequest> requests;
            std::vector<std::thread> callers;
            for (std::size_t number = 0; number < begun; ++number) {
                requests.push_back(stream("stream-" + std::to_string(number), number));
                callers.emplace_back(
                    [this, request = requests.back()] { static_cast<void>(fleet_->send(first, request)); });
            }
            std::this_thread::sleep_for(milliseconds(800));
            fleet_->router(first).kill();
            for (std::thread& caller : callers) {
                caller.join();
            }
            std::erase_if(requests, [this](const CallerRequest& request) {
                return fleet_->eventsOf(request.id) == 0 || versionThatRan(request.id) != "v2";
            });
            requests.resize(std::min(requests.size(), streamCount));
            return requests;
        }

        [[nodiscard]] std::string versionThatRan(const std::string& id)
        {
            const auto engine = fleet_->engineOf(id);
            return engine ? fleet_->versionOf(*engine) : "";
        }

        /** A caller comes back until its stream goes on. @return The version at which it went on; empty: it did not. */
        [[nodiscard]] std::string takeUpUntilAnswered(const CallerRequest& begun, std::size_t router, milliseconds time)
        {
            const auto until = std::chrono::steady_clock::now() + time;
            for (int attempt = 0; std::chrono::steady_clock::now() < until; ++attempt) {
                CallerRequest next = begun;
                next.id += "-again-" + std::to_string(attempt);
                next.resumes = begun.id;
                next.lastEvent = "20";
                static_cast<void>(fleet_->send(router, next));
                if (const std::string version = versionThatRan(next.id); !version.empty()) {
                    return version;
                }
                std::this_thread::sleep_for(milliseconds(100));
            }
            return {};
        }

        struct TakeUps {
            std::size_t wentOn = 0;
            /** Streams that went on at another version. */
            std::size_t joined = 0;
        };

        [[nodiscard]] TakeUps takeUp(const std::vector<CallerRequest>& streams, std::size_t router, milliseconds time)
        {
            std::vector<std::string> versions(streams.size());
            std::vector<std::thread> callers;
            for (std::size_t number = 0; number < streams.size(); ++number) {
                callers.emplace_back(
                    [&, number] { versions[number] = takeUpUntilAnswered(streams[number], router, time); });
            }
            for (std::thread& caller : callers) {
                caller.join();
            }
            TakeUps result;
            for (const std::string& version : versions) {
                result.wentOn += version.empty() ? 0 : 1;
                result.joined += !version.empty() && version != "v2" ? 1 : 0;
            }
            return result;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against joined streams at a router that stood still during a release and wakes when the store turns it
    // away: it took the only version of its old list for that of all streams.
    TEST_F(OutOfStepRouterTest, WakesWhileTheStoreTurnsAway)
    {
        fleet_->router(outOfStep).signal(SIGSTOP);
        release();
        const auto streams = beginAndKillFirst();
        ASSERT_EQ(streams.size(), streamCount);
        fleet_->router(other).signal(SIGSTOP);
        fleet_->store().control({ { "turn_away", 503 } });
        fleet_->router(outOfStep).signal(SIGCONT);
        EXPECT_EQ(takeUp(streams, outOfStep, milliseconds(5000)).joined, 0U);
    }

    // Guards against the same at a router whose reads of the store hang.
    TEST_F(OutOfStepRouterTest, WakesWhileTheStoreIsSilent)
    {
        fleet_->router(outOfStep).signal(SIGSTOP);
        release();
        const auto streams = beginAndKillFirst();
        ASSERT_EQ(streams.size(), streamCount);
        fleet_->router(other).signal(SIGSTOP);
        fleet_->store().control({ { "outage", "hang" } });
        fleet_->router(outOfStep).signal(SIGCONT);
        EXPECT_EQ(takeUp(streams, outOfStep, milliseconds(5000)).joined, 0U);
    }

    // Guards against joined streams at two routers that wake together: each took the other's guess for a memory.
    TEST_F(OutOfStepRouterTest, TwoWakeTogetherWhileTheStoreTurnsAway)
    {
        fleet_->router(outOfStep).signal(SIGSTOP);
        fleet_->router(other).signal(SIGSTOP);
        release();
        const auto streams = beginAndKillFirst();
        ASSERT_EQ(streams.size(), streamCount);
        fleet_->store().control({ { "turn_away", 503 } });
        fleet_->router(outOfStep).signal(SIGCONT);
        fleet_->router(other).signal(SIGCONT);
        const std::vector<CallerRequest> here(streams.begin(), streams.begin() + streamCount / 2);
        const std::vector<CallerRequest> there(streams.begin() + streamCount / 2, streams.end());
        EXPECT_EQ(takeUp(here, outOfStep, milliseconds(5000)).joined, 0U);
        EXPECT_EQ(takeUp(there, other, milliseconds(5000)).joined, 0U);
    }

    // Guards against joined streams at a router that reads in one go that an engine of the new version came and went.
    TEST_F(OutOfStepRouterTest, WakesAfterAReleaseThatWasTakenBack)
    {
        constexpr std::size_t canary = modelEngines - 1;
        const std::string id = "new-" + std::to_string(canary);
        fleet_->router(outOfStep).signal(SIGSTOP);
        fleet_->unregisterEngine(canary);
        fleet_->registerAs(canary, id, "v2");
        std::this_thread::sleep_for(milliseconds(1200));
        const auto streams = beginAndKillFirst();
        ASSERT_FALSE(streams.empty());
        fleet_->unregisterId(id);
        fleet_->router(outOfStep).signal(SIGCONT);
        EXPECT_EQ(takeUp(streams, outOfStep, milliseconds(4000)).joined, 0U);
    }

    // Guards against refusals by a router that was out of step and reaches the store again.
    TEST_F(OutOfStepRouterTest, GoesOnOnceTheStoreIsReached)
    {
        fleet_->router(outOfStep).signal(SIGSTOP);
        release();
        const auto streams = beginAndKillFirst();
        ASSERT_EQ(streams.size(), streamCount);
        fleet_->router(outOfStep).signal(SIGCONT);
        const TakeUps result = takeUp(streams, outOfStep, milliseconds(10'000));
        EXPECT_EQ(result.joined, 0U);
        EXPECT_EQ(result.wentOn, streams.size());
    }

} // namespace
} // namespace swiftlift::platform::test
