#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "LogLines.h"
#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t stopped = 0;
    /** Time within which a stopping router has to end. */
    constexpr milliseconds stopLimit { 8'000 };
    constexpr std::chrono::seconds maxWait { 30 };
    constexpr milliseconds pollInterval { 10 };

    /** Callers of one router: each sends its next request as soon as it has the answer to the last one. */
    class SteadyCallers {
    public:
        explicit SteadyCallers(PlatformFleet& fleet)
            : fleet_(fleet)
        {
            for (std::size_t caller = 0; caller < callerCount; ++caller) {
                threads_.emplace_back([this, caller] { run(caller); });
            }
        }

        ~SteadyCallers() { finish(); }
        SteadyCallers(const SteadyCallers&) = delete;
        SteadyCallers& operator=(const SteadyCallers&) = delete;

        void finish()
        {
            finished_.store(true);
            for (std::thread& thread : threads_) {
                if (thread.joinable()) {
                    thread.join();
                }
            }
        }

        /** @return The requests that an engine ran and whose callers got no whole answer. */
        [[nodiscard]] std::vector<std::string> lost()
        {
            finish();
            std::vector<std::string> lost;
            for (const auto& unanswered : unanswered_) {
                for (const std::string& id : unanswered) {
                    if (fleet_.runsOf(id) > 0) {
                        lost.push_back(id);
                    }
                }
            }
            return lost;
        }

        [[nodiscard]] std::size_t answered() const noexcept { return answered_.load(); }

    private:
        void run(std::size_t caller)
        {
            for (int number = 0; !finished_.load(); ++number) {
                const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
                const CallerAnswer answer = fleet_.send(stopped, { .path = "/order/x", .id = id, .deadlineMs = 3000 });
                if (answer.whole) {
                    answered_.fetch_add(1);
                } else {
                    unanswered_[caller].push_back(id);
                }
                std::this_thread::sleep_for(pollInterval);
            }
        }

        static constexpr std::size_t callerCount = 4;
        PlatformFleet& fleet_;
        std::atomic<bool> finished_ = false;
        std::atomic<std::size_t> answered_ = 0;
        std::vector<std::vector<std::string>> unanswered_ { callerCount };
        std::vector<std::thread> threads_;
    };

    /** Three real routers. The first one is taken for dead and its grants are sealed, so its incarnation ends. */
    class StopWhileEndingTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-ending-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(
                SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { .routers = 3, .routeTimeoutMs = 20'000 });
            ASSERT_TRUE(fleet_->start());
            for (std::size_t engine = 0; engine < 2; ++engine) {
                fleet_->engine(engine).control({ { "events", 70 }, { "between_events_ms", 100 } });
            }
        }

        void TearDown() override
        {
            if (stream_.joinable()) {
                stream_.join();
            }
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        [[nodiscard]] std::size_t linesOf(std::size_t router, const std::string& kind)
        {
            return scenario::linesOfKinds(fleet_->router(router).printed(), { kind }).size();
        }

        /** @return Whether the condition became true within `maxWait`. */
        template <typename Condition> [[nodiscard]] static bool waitUntil(const Condition& condition)
        {
            const auto until = std::chrono::steady_clock::now() + maxWait;
            while (!condition()) {
                if (std::chrono::steady_clock::now() >= until) {
                    return false;
                }
                std::this_thread::sleep_for(pollInterval);
            }
            return true;
        }

        [[nodiscard]] bool waitForLines(std::size_t router, const std::string& kind, std::size_t count)
        {
            return waitUntil([&] { return linesOf(router, kind) >= count; });
        }

        /** A stream of seven seconds begins at the router that will be stopped. */
        void beginStream()
        {
            stream_ = std::thread([this] {
                streamAnswer_ = fleet_->send(
                    stopped, { .path = "/stream/x", .id = "stream", .tokens = "12,490", .deadlineMs = 20'000 });
            });
            EXPECT_TRUE(waitUntil([this] { return fleet_->eventsOf("stream") >= 2; }));
        }

        /** Stands the router still until another one has sealed its grants. */
        [[nodiscard]] bool standStillUntilSealed()
        {
            fleet_->router(stopped).signal(SIGSTOP);
            return waitUntil([this] { return linesOf(1, "seal") + linesOf(2, "seal") > 0; });
        }

        void goOn() { fleet_->router(stopped).signal(SIGCONT); }

        /** Sends SIGTERM and expects the router to end in time, without becoming ready or losing a request. */
        void stopAndExpectNothingLost()
        {
            SteadyCallers callers(*fleet_);
            fleet_->router(stopped).signal(SIGTERM);
            goOn();
            const auto told = std::chrono::steady_clock::now();
            // A readiness check that began before the signal may still be answered.
            std::this_thread::sleep_for(milliseconds(300));
            while (fleet_->router(stopped).running() && std::chrono::steady_clock::now() < told + stopLimit) {
                ASSERT_NE(fleet_->readiness(stopped), 200U);
                std::this_thread::sleep_for(pollInterval);
            }
            EXPECT_EQ(fleet_->router(stopped).waitForExit(milliseconds(0)), 0);
            EXPECT_EQ(callers.lost(), std::vector<std::string> {});
            EXPECT_GT(callers.answered(), 0U);
        }

        void expectWholeStream()
        {
            stream_.join();
            EXPECT_TRUE(streamAnswer_.whole);
            EXPECT_EQ(streamAnswer_.status, 200U);
            EXPECT_NE(streamAnswer_.body.find("id: 70\n"), std::string::npos);
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
        std::thread stream_;
        CallerAnswer streamAnswer_;
    };

    // Guards against a stopping router that becomes ready again: the stop comes before it has read the seal.
    TEST_F(StopWhileEndingTest, StopBeforeTheSealIsRead)
    {
        ASSERT_TRUE(standStillUntilSealed());
        stopAndExpectNothingLost();
    }

    // Guards against the same where a stream of the ending incarnation is in progress, and against its cut.
    TEST_F(StopWhileEndingTest, StopBetweenTheSealAndTheLastStream)
    {
        beginStream();
        ASSERT_TRUE(standStillUntilSealed());
        goOn();
        ASSERT_TRUE(waitForLines(stopped, "retired", 1));
        stopAndExpectNothingLost();
        expectWholeStream();
    }

    // Guards against the same where the next incarnation still reads the log.
    TEST_F(StopWhileEndingTest, StopBeforeTheNextIncarnationIsReady)
    {
        ASSERT_TRUE(standStillUntilSealed());
        goOn();
        ASSERT_TRUE(waitForLines(stopped, "start", 2));
        stopAndExpectNothingLost();
    }

    // Guards against a stop that waits for an incarnation which can't become ready, as the store turns it away.
    TEST_F(StopWhileEndingTest, StopWhileTheStoreIsAway)
    {
        beginStream();
        ASSERT_TRUE(standStillUntilSealed());
        goOn();
        ASSERT_TRUE(waitForLines(stopped, "retired", 1));
        fleet_->store().control({ { "turn_away", 503 } });
        stopAndExpectNothingLost();
        expectWholeStream();
    }

    // Guards against the same where the next incarnation has begun without the store.
    TEST_F(StopWhileEndingTest, StopOfAnIncarnationThatCannotRead)
    {
        ASSERT_TRUE(standStillUntilSealed());
        goOn();
        ASSERT_TRUE(waitForLines(stopped, "start", 2));
        fleet_->store().control({ { "turn_away", 503 } });
        stopAndExpectNothingLost();
    }

} // namespace
} // namespace swiftlift::platform::test
