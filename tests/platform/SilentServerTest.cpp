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

    /** Time for which the engines are silent. */
    constexpr milliseconds silence { 1200 };
    constexpr std::size_t requestsOfAKind = 4;

    /** Real routers, whose engines all fall silent for a second or so and then go on. */
    class SilentServerTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-silent-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { 2, 2, 2 });
            ASSERT_TRUE(fleet_->start());
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        void silenceEngines()
        {
            for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
                fleet_->engine(engine).control({ { "silent_ms", silence.count() } });
            }
        }

        /** Sends these requests at once and falls silent while they run. @return Their answers. */
        std::vector<CallerAnswer> sendIntoSilence(const std::string& path, const std::string& tokens)
        {
            std::vector<CallerAnswer> answers(requestsOfAKind);
            std::vector<std::thread> callers;
            for (std::size_t index = 0; index < answers.size(); ++index) {
                callers.emplace_back([&, index] {
                    const std::string id = path + std::to_string(index);
                    answers[index] = fleet_->send(0, { .path = path, .id = id, .tokens = tokens });
                });
            }
            std::this_thread::sleep_for(milliseconds(100));
            silenceEngines();
            for (std::thread& caller : callers) {
                caller.join();
            }
            return answers;
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against a stream that is broken off, or begun anew, because its sound engine said nothing for a second.
    TEST_F(SilentServerTest, StreamsGoOnAfterTheSilence)
    {
        for (std::size_t engine = 0; engine < 2; ++engine) {
            fleet_->engine(engine).control({ { "events", 40 }, { "between_events_ms", 20 } });
        }
        for (const std::string path : { "/stream/x", "/resumable/x" }) {
            const auto answers = sendIntoSilence(path, "12,280");
            for (std::size_t index = 0; index < answers.size(); ++index) {
                EXPECT_EQ(answers[index].status, 200U);
                EXPECT_TRUE(answers[index].whole);
                EXPECT_EQ(fleet_->runsOf(path + std::to_string(index)), 1U);
            }
        }
    }

    // Guards against a non-idempotent request that is refused, or runs twice, because its server said nothing for a
    // second.
    TEST_F(SilentServerTest, NonIdempotentRequestsWaitForTheirAnswers)
    {
        for (std::size_t engine = 2; engine < 4; ++engine) {
            fleet_->engine(engine).control({ { "whole_ms", 300 } });
        }
        const auto answers = sendIntoSilence("/order/x", {});
        for (std::size_t index = 0; index < answers.size(); ++index) {
            EXPECT_EQ(answers[index].status, 200U);
            EXPECT_EQ(fleet_->runsOf("/order/x" + std::to_string(index)), 1U);
        }
    }

    // Guards against servers that get nothing for long after they were silent for a second.
    TEST_F(SilentServerTest, ServersAreUsedAgainAfterTheSilence)
    {
        silenceEngines();
        for (std::size_t index = 0; index < requestsOfAKind; ++index) {
            (void)fleet_->send(0, { .path = "/plain/x", .id = "silent" + std::to_string(index) });
        }
        std::this_thread::sleep_for(silence);
        for (std::size_t index = 0; index < requestsOfAKind; ++index) {
            EXPECT_EQ(fleet_->send(0, { .path = "/plain/x", .id = "sound" + std::to_string(index) }).status, 200U);
            EXPECT_EQ(fleet_->send(0, { .path = "/order/x", .id = "order" + std::to_string(index) }).status, 200U);
        }
    }

} // namespace
} // namespace swiftlift::platform::test
