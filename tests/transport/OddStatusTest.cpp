#include <string>

#include <gmock/gmock.h>

#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;

    constexpr const char* noStatuses[] = { "000", "001", "099", "600", "999" };
    constexpr const char* malformedStatuses[] = { "20", "2000", "2x0", "+20", "-20", "" };

    /** How an answer ends. */
    struct Framing {
        const char* name;
        const char* fields;
        const char* body;
    };

    constexpr Framing framings[]
        = { { "length", "Content-Length: 4\r\n", "full" }, { "no body", "Content-Length: 0\r\n", "" },
              { "chunks", "Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n" },
              { "end of the connection", "Connection: close\r\n", "full" } };

    /** Backend servers in trouble whose answers have a status that HTTP doesn't have, with the server's signature. */
    class OddStatusTest : public ProxyFixture {
    protected:
        /** @return How an attempt ends that gets this answer. The server keeps the connection open, unless the answer
         * ends with it. */
        [[nodiscard]] ProxyAttemptEnded endWith(
            const std::string& status, const Framing& framing, AnswerKind kind, const std::string& fields = {})
        {
            auto client = caller();
            static_cast<void>(dispatchNext(client, ++lastAttempt_, kind, false));
            auto engine = backend.accept();
            static_cast<void>(engine.readRequest());
            engine.write(headOf(framing.fields + fields, status + " x") + framing.body);
            if (std::string(framing.fields).starts_with("Connection")) {
                engine.close();
            }
            return nextEvent<ProxyAttemptEnded>(decisions,
                [](const node::Event& event) { EXPECT_FALSE(std::holds_alternative<node::BackendAnnounced>(event)); });
        }

        std::uint64_t lastAttempt_ = 0;
    };

    // Guards against a caller that gets such an answer, or waits for another until its deadline.
    TEST_F(OddStatusTest, AnswerWithoutAStatusEndsTheAttemptAtOnce)
    {
        startProxy();
        for (const char* const status : noStatuses) {
            for (const Framing& framing : framings) {
                for (const AnswerKind kind : { AnswerKind::Whole, AnswerKind::Events }) {
                    const ProxyAttemptEnded ended = endWith(status, framing, kind);
                    EXPECT_EQ(ended.end, ProxyAttemptEnd::Broken) << status << ", " << framing.name;
                    EXPECT_THAT(ended.detail, testing::HasSubstr("is no status of HTTP"))
                        << status << ", " << framing.name;
                }
            }
        }
    }

    // Guards against a request that is sent again although it may have run, because the answer's fields are believed.
    TEST_F(OddStatusTest, AnswerWithoutAStatusIsNoRefusal)
    {
        startProxy();
        for (const char* const status : noStatuses) {
            const ProxyAttemptEnded ended
                = endWith(status, framings[0], AnswerKind::Whole, "Not-Started: 1\r\nRetry-After: 30\r\n");
            EXPECT_EQ(ended.end, ProxyAttemptEnd::Broken) << status;
            EXPECT_FALSE(ended.announcement.has_value()) << status;
        }
    }

    // Guards against the same for a status that isn't three digits.
    TEST_F(OddStatusTest, MalformedStatusEndsTheAttemptAtOnce)
    {
        startProxy();
        for (const char* const status : malformedStatuses) {
            const ProxyAttemptEnded ended = endWith(status, framings[0], AnswerKind::Whole, "Not-Started: 1\r\n");
            EXPECT_EQ(ended.end, ProxyAttemptEnd::Broken) << status;
            EXPECT_THAT(ended.detail, testing::HasSubstr("HTTP parse error")) << status;
        }
    }

    // Guards against the whole answer that is refused for its interim answers, known or not.
    TEST_F(OddStatusTest, InterimAnswersArePassedOver)
    {
        startProxy();
        for (const char* const status : { "100 Continue", "199 Later" }) {
            auto client = caller();
            static_cast<void>(dispatchNext(client, ++lastAttempt_, AnswerKind::Whole));
            auto engine = backend.accept();
            static_cast<void>(engine.readRequest());
            engine.write(std::string("HTTP/1.1 ") + status + "\r\n\r\n" + headOf("Content-Length: 4\r\n") + "full");
            EXPECT_EQ(nextEvent<ProxyAttemptEnded>(decisions).end, ProxyAttemptEnd::Completed) << status;
            EXPECT_EQ(client.readResponse().body(), "full") << status;
        }
    }

} // namespace
} // namespace swiftlift::transport::test
