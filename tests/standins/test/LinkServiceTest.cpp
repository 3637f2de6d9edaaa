#include <gtest/gtest.h>

#include "RunningService.h"
#include "link/LinkService.h"
#include "log/LogService.h"

namespace swiftlift::standins {

namespace {

    /** A log behind a link. */
    class LinkServiceTest : public testing::Test {
    protected:
        LinkServiceTest()
        {
            const Json entry { { "name", "a-b" }, { "listen", "127.0.0.1:0" }, { "to", log_.address() } };
            const auto reply = link_.control({ { "add", Json::array({ entry }) } });
            through_ = parseEndpoint(reply.at("links").at("a-b").get<std::string>());
        }

        static HttpCall read() { return { .body = {}, .target = "/streams/s/records", .headers = {} }; }

        [[nodiscard]] std::uint64_t reads() const { return log_.get().at("reads").get<std::uint64_t>(); }

        /** Gives bytes that should have been stopped the time of some round trips to get through all the same. */
        void makeRoundTrips() const
        {
            for (int trip = 0; trip < 20; ++trip) {
                static_cast<void>(link_.get());
            }
        }

        const RunningService log_ { std::make_unique<LogService>(LogSettings {}) };
        const RunningService link_ { std::make_unique<LinkService>() };
        Tcp::endpoint through_;
    };

    // Symptom: a message arrives long after its sender was taken for dead. The network is cut with the message on its
    // way; the connection outlives the cut, and the message arrives after it heals.
    TEST_F(LinkServiceTest, holdBytesWhileCut)
    {
        HttpClient client(through_);
        ASSERT_TRUE(client.call(read()));
        link_.control({ { "cut", { "a-b" } } });
        ASSERT_TRUE(client.send(read()));
        HttpClient other(through_);
        ASSERT_TRUE(other.send(read()));
        makeRoundTrips();
        EXPECT_EQ(reads(), 1U);
        link_.control({ { "heal", { "a-b" } } });
        EXPECT_TRUE(client.receive());
        EXPECT_TRUE(other.receive());
        EXPECT_EQ(reads(), 3U);
    }

    TEST_F(LinkServiceTest, resetConnectionsInResetMode)
    {
        HttpClient client(through_);
        ASSERT_TRUE(client.call(read()));
        link_.control({ { "cut", { "a-b" } }, { "mode", "reset" } });
        EXPECT_FALSE(client.call(read()));
        EXPECT_FALSE(HttpClient(through_).call(read()));
        link_.control({ { "heal", { "a-b" } } });
        EXPECT_TRUE(HttpClient(through_).call(read()));
    }

    TEST_F(LinkServiceTest, stopRequestsOnly)
    {
        HttpClient client(through_);
        ASSERT_TRUE(client.call(read()));
        link_.control({ { "cut_one_way", { "a-b" } } });
        ASSERT_TRUE(client.send(read()));
        makeRoundTrips();
        EXPECT_EQ(reads(), 1U);
        link_.control({ { "heal", { "a-b" } } });
        EXPECT_TRUE(client.receive());
    }

    // Symptom: a call takes effect and its caller never hears of it. Only the way back is cut.
    TEST_F(LinkServiceTest, stopAnswersOnly)
    {
        HttpClient client(through_);
        ASSERT_TRUE(client.call(read()));
        const auto before = link_.get()["links"]["a-b"]["bytes_backward"];
        link_.control({ { "cut_other_way", { "a-b" } } });
        ASSERT_TRUE(client.send(read()));
        EXPECT_TRUE(log_.waitForAudit([](const Json& audit) { return audit.at("reads") == 2; }));
        makeRoundTrips();
        EXPECT_EQ(link_.get()["links"]["a-b"]["bytes_backward"], before);
        link_.control({ { "heal", { "a-b" } } });
        EXPECT_TRUE(client.receive());
    }

    TEST_F(LinkServiceTest, delayBothWays)
    {
        link_.control({ { "delay", { { "a-b", 50 } } } });
        const auto begin = Clock::now();
        EXPECT_TRUE(HttpClient(through_).call(read()));
        EXPECT_GE(Clock::now() - begin, std::chrono::milliseconds(100));
    }

    TEST_F(LinkServiceTest, passOnEndOfConnection)
    {
        HttpClient client(through_);
        ASSERT_TRUE(client.send({ .body = {}, .target = "/streams/s/records?wait_ms=60000", .headers = {} }));
        ASSERT_TRUE(log_.waitForAudit([](const Json& audit) { return audit.at("reads") == 1; }));
        client.close();
        EXPECT_TRUE(log_.waitForAudit([](const Json& audit) { return audit.at("waiting_reads") == 0; }));
    }

    TEST_F(LinkServiceTest, rejectUnknownLink)
    {
        const auto reply
            = link_.client().call({ .body = R"({"cut":["a-b","b-c"]})", .target = "/control", .headers = {} });
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 400U);
        EXPECT_EQ(link_.get()["links"]["a-b"]["cut_forward"], false);
    }

} // namespace

} // namespace swiftlift::standins
