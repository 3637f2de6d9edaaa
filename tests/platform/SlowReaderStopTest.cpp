#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/PlatformFleet.h"

namespace swiftlift::platform::test {
namespace {

    using boost::asio::ip::tcp;
    using std::chrono::milliseconds;
    using std::chrono::steady_clock;

    constexpr std::size_t stopped = 0;
    /** Time within which a stopping router has to end. */
    constexpr milliseconds stopLimit { 8'000 };
    /** At 5,000 bytes each 50 ms, the answer takes 5 s: longer than the router accepts requests after SIGTERM. */
    constexpr std::size_t answerBytes = 500'000;
    constexpr std::size_t bytesPerRead = 5'000;
    constexpr milliseconds readPause { 50 };
    constexpr int receiveBufferBytes = 8'192;

    /** A caller that reads its answer in small parts. */
    class SlowCaller {
    public:
        explicit SlowCaller(const std::string& router)
        {
            const auto colon = router.find(':');
            socket_.open(tcp::v4());
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
            socket_.connect({ boost::asio::ip::make_address(router.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoul(router.substr(colon + 1))) });
        }

        void send(const std::string& id)
        {
            boost::asio::write(socket_,
                boost::asio::buffer("GET /plain/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                    + "\r\nCredential: key-one\r\nDeadline-Ms: 20000\r\n\r\n"));
        }

        /** @return Whether the connection is still open. */
        bool readSome()
        {
            std::array<char, bytesPerRead> bytes {};
            boost::system::error_code error;
            received_.append(bytes.data(), socket_.read_some(boost::asio::buffer(bytes), error));
            return !error;
        }

        [[nodiscard]] std::size_t bodyBytes() const
        {
            const auto head = received_.find("\r\n\r\n");
            return head == std::string::npos ? 0 : received_.size() - head - std::string("\r\n\r\n").size();
        }

    private:
        boost::asio::io_context loop_;
        tcp::socket socket_ { loop_ };
        std::string received_;
    };

    class SlowReaderStopTest : public testing::Test {
    protected:
        void SetUp() override
        {
            folder_ = std::filesystem::temp_directory_path() / ("swiftlift-slow-reader-" + std::to_string(::getpid()));
            fleet_ = std::make_unique<PlatformFleet>(
                SWIFTLIFT_ROUTER, folder_, 10'000'000, FleetSize { .routeTimeoutMs = 20'000 });
            ASSERT_TRUE(fleet_->start());
            for (std::size_t engine = 0; engine < fleet_->engines(); ++engine) {
                fleet_->engine(engine).control({ { "whole_bytes", answerBytes } });
            }
        }

        void TearDown() override
        {
            fleet_.reset();
            std::filesystem::remove_all(folder_);
        }

        void expectEndWithin(steady_clock::time_point until)
        {
            const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
            EXPECT_EQ(fleet_->router(stopped).waitForExit(left), 0);
        }

        std::filesystem::path folder_;
        std::unique_ptr<PlatformFleet> fleet_;
    };

    // Guards against a planned stop that cuts an answer whose caller reads it slowly, within the stop limit: the
    // backend server has ended, and the router still holds a part.
    TEST_F(SlowReaderStopTest, AnswerThatIsReadWithinTheStopLimitIsWhole)
    {
        SlowCaller caller(fleet_->addressOf(stopped));
        caller.send("slow");
        ASSERT_TRUE(caller.readSome());
        fleet_->router(stopped).signal(SIGTERM);
        const auto told = steady_clock::now();
        while (caller.bodyBytes() < answerBytes && caller.readSome()) {
            std::this_thread::sleep_for(readPause);
        }
        EXPECT_EQ(caller.bodyBytes(), answerBytes);
        EXPECT_EQ(fleet_->runsOf("slow"), 1U);
        expectEndWithin(told + stopLimit);
    }

    // Guards against a stop that a caller holds up beyond the stop limit because it doesn't read its answer.
    TEST_F(SlowReaderStopTest, CallerThatDoesNotReadDoesNotHoldUpTheStop)
    {
        SlowCaller caller(fleet_->addressOf(stopped));
        caller.send("unread");
        ASSERT_TRUE(caller.readSome());
        fleet_->router(stopped).signal(SIGTERM);
        expectEndWithin(steady_clock::now() + stopLimit);
    }

} // namespace
} // namespace swiftlift::platform::test
