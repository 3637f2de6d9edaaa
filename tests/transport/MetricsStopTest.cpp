#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "swiftlift/transport/HttpClient.h"
#include "swiftlift/transport/Metrics.h"
#include "transport/Network.h"

namespace swiftlift::transport::test {
namespace {

    /** The part that a router leaves for the ends of its threads: a twelfth of a stop limit of 8 s. */
    constexpr std::chrono::milliseconds threadsTime = std::chrono::milliseconds(8'000) / 12;
    /** Time in which the listener takes up a new connection and begins to read it. */
    constexpr std::chrono::milliseconds readTime { 50 };

    class MetricsStopTest : public testing::Test {
    protected:
        void SetUp() override
        {
            ASSERT_TRUE(metrics_.listen({ "127.0.0.1", 0 })) << metrics_.lastReason();
            metrics_.start();
        }

        void scrape() const
        {
            HttpClient client({ "127.0.0.1", metrics_.port() });
            ASSERT_TRUE(client.call({ "GET", "/metrics", {}, {} }, longWait)) << client.lastReason();
        }

        /** @return How long the end of the metrics' threads takes. */
        [[nodiscard]] std::chrono::milliseconds stop()
        {
            const auto begun = std::chrono::steady_clock::now();
            metrics_.stop();
            return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
        }

        ControlTraffic traffic_;
        Metrics metrics_ { traffic_ };
    };

} // namespace

// Guards against a stop that waits until the listener looks at its stop flag by itself, every two seconds.
TEST_F(MetricsStopTest, IdleListener)
{
    scrape();
    EXPECT_LT(stop(), threadsTime);
}

// Guards against a stop that waits for a client that has connected and sends no request.
TEST_F(MetricsStopTest, ClientWithoutARequest)
{
    scrape();
    const Connection silent = connectTo(metrics_.port());
    std::this_thread::sleep_for(readTime);
    EXPECT_LT(stop(), threadsTime);
}

// Guards against a stop that waits for the rest of a request.
TEST_F(MetricsStopTest, ClientWithHalfARequest)
{
    scrape();
    Connection slow = connectTo(metrics_.port());
    slow.write("GET /metrics HTTP/1.1\r\nHost: ");
    std::this_thread::sleep_for(readTime);
    EXPECT_LT(stop(), threadsTime);
}

} // namespace swiftlift::transport::test
