#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
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
                fleet_->engine(engine).control(
                    { { "events", 300 }, { "between_events_ms", 10 }, { "unframed", true } });
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

        static constexpr std::size_t modelEngines = 2;
        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against a part of an answer without a length that looks complete because the peer that relays it is
    // killed.
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
        ASSERT_TRUE(fleet_->waitForEvents("relayed", 30));
        fleet_->router(1).kill();
        caller.join();
        EXPECT_FALSE(answer.whole) << answer.status << ", " << answer.body.size() << " bytes";
    }

    // Guards against a part of a stream that looks complete to a caller without chunked encoding, because its router is
    // killed.
    TEST_F(CutAnswerTest, AnswerWithoutChunksWhoseRouterIsKilledIsNotComplete)
    {
        const std::string address = fleet_->addressOf(0);
        const auto colon = address.find(':');
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
        asio::write(socket,
            asio::buffer(std::string("POST /stream/x HTTP/1.0\r\nHost: desk.example\r\nRequest-Id: old\r\n"
                                     "Credential: key-one\r\nDeadline-Ms: 5000\r\nModel: m\r\nToken-Usage: 12,2100\r\n"
                                     "Prefix-Hash: 5c1e07a2:8,e4402b7d:4\r\nContent-Length: 2\r\n\r\n{}")));
        ASSERT_TRUE(fleet_->waitForEvents("old", 30));
        fleet_->router(0).kill();
        std::string received;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(received), end);
        EXPECT_NE(received.find("id: 1\n"), std::string::npos);
        EXPECT_EQ(end, asio::error::connection_reset) << end.message();
    }

} // namespace
} // namespace swiftlift::platform::test
