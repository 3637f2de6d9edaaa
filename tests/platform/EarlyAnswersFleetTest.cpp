#include <atomic>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <unistd.h>

#include "common/Text.h"
#include "platform/PlatformFleet.h"
#include "platform/RawEngine.h"
#include "platform/StreamCaller.h"

namespace swiftlift::platform::test {
namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    /** Fills the buffers of both ends of a connection. */
    constexpr std::size_t uploadBytes = 12 * 1024 * 1024;
    constexpr int uploads = 16;
    /** With those that a busy machine's router refuses. */
    constexpr int maxUploads = 64;
    /** Entries of the engine: routers leave an entry out for a while after failures. */
    constexpr int entries = uploads;
    /** Step and number of the engine's pauses before its reset. */
    constexpr microseconds pauseStep { 250 };
    constexpr int pauses = 8;

    /** How a request reaches the engine, and how its caller speaks. */
    struct Way {
        std::string name;
        /** The first router reaches the engine through its peer, the second one itself. */
        std::size_t router;
        bool oldHttp;
        std::string path;
    };

    void PrintTo(const Way& way, std::ostream* out) { *out << way.name; }

    /** Two routers and one engine of each service that answers as the test says while the upload is written to it. */
    class EarlyAnswersFleetTest : public testing::TestWithParam<Way> {
    protected:
        void start(RawEngine::Answer answer)
        {
            engine_ = std::make_unique<RawEngine>("early", std::move(answer));
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-early-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(SWIFTLIFT_ROUTER, folder_, 1'000'000'000,
                FleetSize { .modelEngines = 1,
                    .plainEngines = 1,
                    .links = true,
                    .retryRatio = 3,
                    .maxBodyBytes = 2 * uploadBytes,
                    .hiddenFromFirst = engine_->address() });
            ASSERT_TRUE(fleet_->start());
            const std::size_t replaced = isStream() ? 0 : 1;
            auto entry = fleet_->entryOf(replaced, "ready");
            entry["address"] = engine_->address();
            fleet_->unregisterEngine(replaced);
            for (int number = 0; number < entries; ++number) {
                fleet_->putForeignEntry("early-" + std::to_string(number), entry.dump());
            }
            if (GetParam().router == 0) {
                fleet_->cutFromEngines(0, "refuse");
            }
            waitUntilRequestsArrive();
        }

        void TearDown() override
        {
            fleet_.reset();
            engine_.reset();
            std::filesystem::remove_all(folder_);
        }

        /** Waits until the router sends its requests to the engine, by small ones. */
        void waitUntilRequestsArrive()
        {
            const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            for (int probe = 0; engine_->requests() == 0 && std::chrono::steady_clock::now() < until; ++probe) {
                static_cast<void>(call("probe" + std::to_string(probe), 2));
                std::this_thread::sleep_for(milliseconds(50));
            }
            ASSERT_GT(engine_->requests(), 0U);
        }

        /** Each request has a body and a prompt of its own, so that none is held back for what an earlier one did. */
        [[nodiscard]] SeenAnswer call(const std::string& id, std::size_t bytes) const
        {
            StreamCaller caller(fleet_->addressOf(GetParam().router), { .oldHttp = GetParam().oldHttp });
            const std::string part = standins::toHex(standins::hashOf(id)).substr(0, 8);
            return caller.call({ .path = GetParam().path,
                .id = id,
                .tokens = "12,280",
                .deadlineMs = 4000,
                .body = id + std::string(bytes, 'x'),
                .prefix = part + ":12" });
        }

        /** Sends uploads, and expects that no answer looks like a complete one that is no refusal. */
        void expectNoWholeAnswer()
        {
            const std::uint64_t before = engine_->requests();
            int whole = 0;
            int number = 0;
            for (; number < uploads || (engine_->requests() - before < uploads / 2 && number < maxUploads); ++number) {
                const SeenAnswer answer = call("upload" + std::to_string(number), uploadBytes);
                const bool refused = answer.status >= 400 && answer.status < 600;
                EXPECT_TRUE(!answer.whole || refused) << number << ": " << answer.status << ", " << answer.body;
                whole += answer.whole && !refused ? 1 : 0;
            }
            const std::uint64_t reached = engine_->requests() - before;
            std::cout << GetParam().name << ": " << whole << " of " << number << " answers looked complete, " << reached
                      << " requests reached the engine" << std::endl;
            EXPECT_GE(reached, static_cast<std::uint64_t>(uploads / 2));
        }

        [[nodiscard]] static bool isStream() { return GetParam().path != "/order/x"; }

        /** Sends an answer without a length, with a part or, of a stream, its first event. */
        static void sendPart(const RawEngine::Request& request)
        {
            const std::string type = isStream() ? "Content-Type: text/event-stream\r\n" : "";
            const std::string part = isStream() ? "id: 1\ndata: piece v1 of " + request.id + "\n\n" : "part";
            request.write(headOf(request, "200 OK") + type + "Connection: close\r\n\r\n" + part);
        }

        [[nodiscard]] static std::string headOf(const RawEngine::Request& request, const std::string& status)
        {
            return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.id + "\r\nServer-Stamp: " + request.stamp
                + "\r\n";
        }

        std::atomic<int> answers_ = 0;
        std::atomic<int> takeUps_ = 0;
        std::filesystem::path folder_;
        std::unique_ptr<RawEngine> engine_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against a part of an early answer without a length that callers get as a complete answer, because its
    // engine resets the connection while the upload is written to it.
    TEST_P(EarlyAnswersFleetTest, PartThatIsResetIsNotComplete)
    {
        start([this](const RawEngine::Request& request) {
            sendPart(request);
            std::this_thread::sleep_for(pauseStep * (answers_++ % pauses));
            request.reset();
        });
        expectNoWholeAnswer();
    }

    // Guards against an answer whose status is none that callers get as an answer.
    TEST_P(EarlyAnswersFleetTest, AnswerWithoutAStatusIsNoAnswer)
    {
        start([this](const RawEngine::Request& request) {
            const std::string status = answers_++ % 2 == 0 ? "000 x" : "999 x";
            request.write(headOf(request, status) + "Content-Length: 4\r\n\r\nfull");
        });
        expectNoWholeAnswer();
    }

    /** Engines that send a part of a stream, and others that are asked for the rest. */
    class BrokenTakeUpFleetTest : public EarlyAnswersFleetTest { };

    // Guards against a stream that looks complete, or goes on with other bytes, because the engine that was asked for
    // the rest of it answers with a status that is none.
    TEST_P(BrokenTakeUpFleetTest, RestWithoutAStatusDoesNotCompleteAStream)
    {
        start([this](const RawEngine::Request& request) {
            if (request.isTakeUp) {
                ++takeUps_;
                request.write(
                    headOf(request, answers_++ % 2 == 0 ? "000 x" : "999 x") + "Content-Length: 4\r\n\r\nfull");
            } else {
                sendPart(request);
                request.reset();
            }
        });
        expectNoWholeAnswer();
        EXPECT_GT(takeUps_, 0);
    }

    INSTANTIATE_TEST_SUITE_P(All, BrokenTakeUpFleetTest,
        testing::Values(Way { "Direct", 1, false, "/resumable/x" }, Way { "DirectOldHttp", 1, true, "/resumable/x" },
            Way { "Relayed", 0, false, "/resumable/x" }),
        [](const auto& tested) { return tested.param.name; });

    INSTANTIATE_TEST_SUITE_P(All, EarlyAnswersFleetTest,
        testing::Values(Way { "Direct", 1, false, "/order/x" }, Way { "DirectOldHttp", 1, true, "/order/x" },
            Way { "DirectStream", 1, false, "/stream/x" }, Way { "DirectStreamOldHttp", 1, true, "/stream/x" },
            Way { "Relayed", 0, false, "/order/x" }, Way { "RelayedStreamOldHttp", 0, true, "/stream/x" }),
        [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace swiftlift::platform::test
