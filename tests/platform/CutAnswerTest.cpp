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

    /** Two routers whose processes are killed in the middle of an answer. The kernel then ends their connections. */
    class CutAnswerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-cut-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(
                SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { .modelEngines = 2, .links = true });
            ASSERT_TRUE(fleet_->start());
            for (std::size_t engine = 0; engine < modelEngines; ++engine) {
                fleet_->engine(engine).control({ { "events", 300 }, { "between_events_ms", 10 }, { "unframed", true } });
            }
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        [[nodiscard]] static CallerRequest stream(const std::string& id)
        {
            return { .path = "/stream/x", .id = id, .tokens = "12,2100" };
        }

        void waitForEvents(const std::string& id, std::uint64_t count)
        {
            const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            while (fleet_->eventsOf(id) < count && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(milliseconds(5));
            }
        }

        static constexpr std::size_t modelEngines = 2;
        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against a part of an answer without a length that looks complete because the peer that relays it is killed.
    TEST_F(CutAnswerTest, AnswerWhoseRelayIsKilledIsNotComplete)
    {
        fleet_->cutFromEngines(0, "refuse");
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        int number = 0;
        while (fleet_->send(0, { .path = "/plain/x", .id = "probe-" + std::to_string(++number) }).status != 200U
            && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(50));
        }
        CallerAnswer answer;
        std::thread caller([&] { answer = fleet_->send(0, stream("relayed")); });
        waitForEvents("relayed", 30);
        ASSERT_GE(fleet_->eventsOf("relayed"), 30U);
        fleet_->router(1).kill();
        caller.join();
        EXPECT_FALSE(answer.whole) << answer.status << ", " << answer.body.size() << " bytes";
    }

} // namespace
} // namespace swiftlift::platform::test
