#include <gtest/gtest.h>

#include "RunningService.h"
#include "log.pb.h"
#include "log/LogService.h"

namespace swiftlift::standins {

namespace {

    class LogServiceTest : public testing::Test {
    protected:
        static HttpCall appendCall(const std::string& record)
        {
            proto::log::AppendRequest request;
            request.add_records(record);
            return { .body = request.SerializeAsString(), .target = "/streams/s/append", .headers = {} };
        }

        static HttpCall readCall(const std::string& query)
        {
            return { .body = {}, .target = "/streams/s/records?" + query, .headers = {} };
        }

        static proto::log::ReadReply readReply(const std::optional<HttpReply>& reply)
        {
            proto::log::ReadReply read;
            EXPECT_TRUE(reply && reply->status == 200 && read.ParseFromString(reply->body));
            return read;
        }

        std::optional<HttpReply> append(const std::string& record) const
        {
            return log_.client().call(appendCall(record));
        }

        RunningService log_ { std::make_unique<LogService>(LogSettings {}) };
    };

    TEST_F(LogServiceTest, giveOffsetsWithoutHoles)
    {
        for (std::uint64_t offset = 0; offset < 3; ++offset) {
            proto::log::AppendReply reply;
            const auto answer = append("r" + std::to_string(offset));
            ASSERT_TRUE(answer && reply.ParseFromString(answer->body));
            EXPECT_EQ(reply.first_offset(), offset);
        }
        const auto read = readReply(log_.client().call(readCall("from=1&max=1")));
        ASSERT_EQ(read.records_size(), 1);
        EXPECT_EQ(read.records(0), "r1");
        EXPECT_EQ(read.end_offset(), 3U);
        EXPECT_EQ(log_.get("/audit/records?stream=s").at("records").at(2), "cjI=");
    }

    TEST_F(LogServiceTest, wakeLongPollOnAppend)
    {
        auto reader = log_.client();
        ASSERT_TRUE(reader.send(readCall("from=0&wait_ms=60000")));
        ASSERT_TRUE(log_.waitForAudit([](const Json& audit) { return audit.at("waiting_reads") == 1; }));
        ASSERT_TRUE(append("late"));
        EXPECT_EQ(readReply(reader.receive()).records(0), "late");
    }

    // Symptom: a budget charged twice. An append's answer is lost after the record has been kept; the writer takes that
    // for a failure and appends under a new id. Cause: no answer was read as no effect.
    TEST_F(LogServiceTest, keepRecordWhenAnswerIsLost)
    {
        log_.control({ { "lose_next_answers", 1 } });
        EXPECT_FALSE(append("kept"));
        EXPECT_EQ(readReply(log_.client().call(readCall("from=0"))).records(0), "kept");
        EXPECT_TRUE(append("next"));
        EXPECT_EQ(log_.get().at("lost_answers"), 1);
    }

    // Symptom: a retired draw shows up in the stream. The connection closes before the record is kept; the writer reads
    // the stream, doesn't find it and goes on; then the record lands. Cause: absence was read as "never".
    TEST_F(LogServiceTest, applyLateAppendAfterLaterOnes)
    {
        log_.control({ { "late_appends_ms", 300 }, { "count", 1 } });
        EXPECT_FALSE(append("late"));
        EXPECT_TRUE(append("prompt"));
        ASSERT_TRUE(log_.waitForAudit([](const Json& audit) { return audit["streams"]["s"]["records"] == 2; }));
        EXPECT_EQ(readReply(log_.client().call(readCall("from=0"))).records(1), "late");
    }

    // Symptom: a reader folds a stream with a hole. It was away for longer than the retention. Cause: it went on at the
    // oldest record instead of taking the 410 for a loss.
    TEST_F(LogServiceTest, answerGoneForExpiredOffsets)
    {
        for (const auto* record : { "a", "b", "c" }) {
            ASSERT_TRUE(append(record));
        }
        log_.control({ { "retain", 1 } });
        const auto gone = log_.client().call(readCall("from=0"));
        ASSERT_TRUE(gone);
        EXPECT_EQ(gone->status, 410U);
        EXPECT_EQ(Json::parse(gone->body).at("oldest"), 2);
        EXPECT_EQ(readReply(log_.client().call(readCall("from=2"))).oldest_offset(), 2U);
        EXPECT_EQ(log_.get("/audit/records?stream=s").at("records").size(), 3U);
    }

    TEST_F(LogServiceTest, refuseAppendsOverRate)
    {
        log_.control({ { "appends_per_second", 0.0001 } });
        EXPECT_EQ(append("first")->status, 200U);
        EXPECT_EQ(append("second")->status, 429U);
        EXPECT_EQ(log_.get().at("rejected"), 1);
    }

    TEST_F(LogServiceTest, answerUnavailableInOutage)
    {
        log_.control({ { "outage", true } });
        EXPECT_EQ(append("lost")->status, 503U);
        log_.control({ { "outage", false } });
        EXPECT_EQ(append("kept")->status, 200U);
        EXPECT_EQ(log_.get()["streams"]["s"]["records"], 1);
    }

    // Symptom: a record appears that its writer had given up on. The call hangs in an outage, the writer waits on, and
    // the append takes effect when the outage ends. Cause: silence was read as a failure.
    TEST_F(LogServiceTest, serveHungCallAfterOutage)
    {
        log_.control({ { "outage", "hang" } });
        auto writer = log_.client();
        ASSERT_TRUE(writer.send(appendCall("hung")));
        ASSERT_TRUE(log_.waitForAudit([](const Json& audit) { return audit.at("held") == 1; }));
        log_.control({ { "outage", false } });
        const auto reply = writer.receive();
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 200U);
    }

    TEST_F(LogServiceTest, blockBySourceAddress)
    {
        const auto blocked = asio::ip::make_address("127.0.0.9");
        log_.control({ { "block", { "127.0.0.9" } } });
        EXPECT_FALSE(HttpClient(log_.endpoint(), blocked).call(appendCall("cut")));
        EXPECT_TRUE(append("free"));
        log_.control({ { "block", Json::array() } });
        EXPECT_TRUE(HttpClient(log_.endpoint(), blocked).call(appendCall("healed")));
        EXPECT_EQ(log_.get()["streams"]["s"]["records"], 2);
    }

    TEST_F(LogServiceTest, rejectUnknownControls)
    {
        const auto reply
            = log_.client().call({ .body = R"({"outage":true,"outrage":true})", .target = "/control", .headers = {} });
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->status, 400U);
        EXPECT_EQ(append("kept")->status, 200U);
    }

} // namespace

} // namespace swiftlift::standins
