#include <future>
#include <limits>
#include <ostream>

#include "transport/AsyncHttpClient.h"
#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;

    constexpr std::size_t mebibyte = 1024 * 1024;
    /** Bytes that a backend server can send before the router closes the connection, socket buffers included. */
    constexpr std::size_t maxSentBytes = 64 * mebibyte;
    /** Bytes that the router may hold for one answer. */
    constexpr std::size_t maxHeldBytes = 6 * mebibyte;
    /** Time by which the router has closed the connection: the silence limit and a margin for a loaded machine. */
    constexpr std::chrono::seconds maxTime { 8 };

    /** Writes the bytes again and again until the other end closes. @return Number of bytes written. */
    std::size_t writeUntilClosed(Connection& connection, const std::string& bytes)
    {
        std::size_t count = 0;
        const auto until = std::chrono::steady_clock::now() + longWait;
        try {
            while (std::chrono::steady_clock::now() < until) {
                connection.write(bytes);
                count += bytes.size();
            }
        } catch (const boost::system::system_error&) {
            return count;
        }
        return std::numeric_limits<std::size_t>::max();
    }

    std::string repeated(const std::string& text)
    {
        constexpr std::size_t length = 8 * 1024;
        std::string all;
        while (all.size() < length) {
            all += text;
        }
        return all;
    }

    struct EndlessCase {
        std::string name;
        AnswerKind answer;
        std::string start;
        std::string repeatedPart;
        /** The answer is not valid from its first bytes on, so that no limit is reached. */
        bool invalidAtOnce = false;
    };

    void PrintTo(const EndlessCase& endless, std::ostream* out) { *out << endless.name; }

    const std::string ok = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: 1\r\n";
    const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
    const std::string eventField = "Content-Type: text/event-stream\r\n";
    const std::string refused = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n";

    /** The ways in which a backend server sends bytes without end that are not a valid answer. */
    std::vector<EndlessCase> endlessCases()
    {
        const std::string line(1000, 'x');
        return {
            { "FirstLine", AnswerKind::Whole, "", line, true },
            { "HeaderLine", AnswerKind::Whole, ok + "X: ", line },
            { "HeaderLines", AnswerKind::Whole, ok, "X: filler\r\n" },
            { "NoHttp", AnswerKind::Whole, "", std::string("\0\r\n\x7f", 4), true },
            { "Chunks", AnswerKind::Whole, ok + chunkedField + "\r\n", "3e8\r\n" + line + "\r\n" },
            { "ChunkSizeLine", AnswerKind::Whole, ok + chunkedField + "\r\n", std::string(1000, '0') },
            { "ChunkExtension", AnswerKind::Events, ok + eventField + chunkedField + "\r\n1;", line },
            { "Trailers", AnswerKind::Whole, ok + chunkedField + "\r\n0\r\n", "X: filler\r\n" },
            { "UnreachedLength", AnswerKind::Whole, ok + "Content-Length: 4000000000000000000\r\n\r\n", line },
            { "NoLength", AnswerKind::Whole, ok + "\r\n", line },
            { "FailureWithoutLength", AnswerKind::Events, "HTTP/1.1 500 X\r\nId: r1\r\nStamp: 1\r\n\r\n", line },
            { "Event", AnswerKind::Events, ok + eventField + "\r\nid: 1\n", "data: " + line + "\n" },
            { "RepeatedEvents", AnswerKind::Events, ok + eventField + "\r\nid: 1\ndata: a\n\n",
                "id: 1\ndata: " + line + "\n\n" },
            { "EventsWithoutId", AnswerKind::Events, ok + eventField + "\r\n", "data: " + line + "\n\n", true },
            { "InterimHeads", AnswerKind::Whole, "", "HTTP/1.1 102 Processing\r\n\r\n" },
            { "OtherAnswers", AnswerKind::Whole, "",
                "HTTP/1.1 200 OK\r\nId: r2\r\nStamp: 1\r\nContent-Length: 2\r\n\r\n{}" },
            { "OtherAnswerWithoutLength", AnswerKind::Whole, "HTTP/1.1 200 OK\r\nId: r2\r\nStamp: 1\r\n\r\n", line },
            { "Refusal", AnswerKind::Whole, refused + "\r\n", line },
        };
    }

    class EndlessAnswerTest : public ProxyFixture, public testing::WithParamInterface<EndlessCase> { };

    // Guards against a router that buffers bytes which are no answer until its memory is exhausted, or that keeps the
    // request waiting for as long as its backend server sends them.
    TEST_P(EndlessAnswerTest, IsEndedWithinBounds)
    {
        const auto& [name, answer, start, repeatedPart, invalidAtOnce] = GetParam();
        StreamLimits limits;
        limits.answerTotalBytes = 16 * mebibyte;
        startProxy(limits);
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, answer, false));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        const auto begin = std::chrono::steady_clock::now();
        auto sent = std::async(std::launch::async, [&engine, start = start, part = repeated(repeatedPart)] {
            engine.write(start);
            return writeUntilClosed(engine, part);
        });
        const auto ended = nextEvent<ProxyAttemptEnded>(decisions);
        EXPECT_EQ(ended.end, ProxyAttemptEnd::Broken) << "the request may have run";
        EXPECT_FALSE(ended.connectionLost);
        EXPECT_LT(sent.get(), maxSentBytes) << ended.detail;
        EXPECT_LT(std::chrono::steady_clock::now() - begin, maxTime) << ended.detail;
        // The counters are published in intervals; a later value includes the end of the attempt.
        const std::uint64_t expectedCount = invalidAtOnce ? 0 : 1;
        while (server->counts().endlessAnswers < expectedCount && std::chrono::steady_clock::now() - begin < longWait) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        EXPECT_LT(server->counts().mostHeldBytes, maxHeldBytes);
        EXPECT_EQ(server->counts().endlessAnswers, expectedCount) << ended.detail;
    }

    INSTANTIATE_TEST_SUITE_P(All, EndlessAnswerTest, testing::ValuesIn(endlessCases()),
        [](const auto& endless) { return endless.param.name; });

    class SlowEndlessAnswerTest : public ProxyFixture {
    protected:
        /** Writes events with these ids until the other end closes, at most for twice `maxTime`. */
        template <typename IdOf>
        static void writeEvents(Connection& connection, std::chrono::milliseconds interval, IdOf idOf)
        {
            const auto until = std::chrono::steady_clock::now() + 2 * maxTime;
            try {
                for (std::uint64_t index = 1; std::chrono::steady_clock::now() < until; ++index) {
                    connection.write(event(idOf(index)));
                    std::this_thread::sleep_for(interval);
                }
            } catch (const boost::system::system_error&) {
                return;
            }
        }
    };

    // Guards against a stream that a backend server keeps open by repeating events that the caller already has.
    TEST_F(SlowEndlessAnswerTest, RepeatedEventsDoNotExtendTheSilenceLimit)
    {
        startProxy();
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, AnswerKind::Events));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(eventHead("") + event(1));
        const auto begin = std::chrono::steady_clock::now();
        auto sent = std::async(std::launch::async,
            [&engine] { writeEvents(engine, std::chrono::milliseconds(100), [](std::uint64_t) { return 1; }); });
        EXPECT_EQ(nextEvent<ProxyAttemptEnded>(decisions).end, ProxyAttemptEnd::Broken);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, maxTime);
        sent.wait();
    }

    // Guards against a stream of valid events that never ends and keeps a caller and a backend server busy for ever.
    TEST_F(SlowEndlessAnswerTest, ValidEventsWithoutEndAreEnded)
    {
        StreamLimits limits;
        limits.answerTime = std::chrono::milliseconds(500);
        startProxy(limits);
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, AnswerKind::Events));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(eventHead(""));
        auto sent = std::async(std::launch::async, [&engine] {
            writeEvents(engine, std::chrono::milliseconds(20), [](std::uint64_t index) { return index; });
        });
        EXPECT_EQ(nextEvent<ProxyAttemptEnded>(decisions).end, ProxyAttemptEnd::Broken);
        sent.wait();
    }

    // Guards against bytes that follow a complete answer being taken for the answer to the next request on the
    // connection.
    TEST_F(SlowEndlessAnswerTest, BytesAfterACompleteAnswerCloseTheConnection)
    {
        startProxy();
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, AnswerKind::Whole));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(headOf("Content-Length: 2\r\n") + "{}");
        EXPECT_EQ(nextEvent<ProxyAttemptEnded>(decisions).end, ProxyAttemptEnd::Completed);
        EXPECT_EQ(client.readResponse().body(), "{}");
        EXPECT_LT(writeUntilClosed(engine, repeated("HTTP/1.1 200 OK\r\nId: r1\r\n\r\n")), maxSentBytes);
        static_cast<void>(dispatchNext(client, 2, AnswerKind::Whole));
        EXPECT_EQ(backend.accept().readRequest()["Id"], "r1");
    }

    // Guards against a poll of a backend server that buffers a response without end.
    TEST(AsyncHttpClientTest, EndlessResponsesAreEndedWithinBounds)
    {
        const std::string line(1000, '0');
        const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<std::pair<std::string, std::string>> cases { { "HTTP/1.1 200 OK\r\nX: ", line },
            { chunkedHead, line }, { chunkedHead + "0\r\n", "X: filler\r\n" },
            { "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000000000\r\n\r\n", line },
            { "HTTP/1.1 200 OK\r\n\r\n", line } };
        for (const auto& [start, part] : cases) {
            Listener backend;
            boost::asio::io_context loop;
            TrafficCounter traffic;
            const auto client
                = std::make_shared<internal::AsyncHttpClient>(loop, Endpoint { "127.0.0.1", backend.port() }, traffic);
            bool failed = false;
            const std::chrono::seconds limit(4);
            client->call({ boost::beast::http::verb::get, "/load", 11 }, limit,
                [&failed](const std::optional<HttpResponse>& answer) { failed = !answer; });
            auto sent = std::async(std::launch::async, [&backend, start = start, part = repeated(part)] {
                auto connection = backend.accept();
                connection.write(start);
                return writeUntilClosed(connection, part);
            });
            const auto begin = std::chrono::steady_clock::now();
            loop.run();
            EXPECT_TRUE(failed) << start;
            EXPECT_LT(std::chrono::steady_clock::now() - begin, maxTime) << start;
            EXPECT_LT(sent.get(), maxSentBytes) << start;
        }
    }

    // Guards against a router that any caller ends by announcing a body of a length that can't be allocated.
    TEST_F(SlowEndlessAnswerTest, RequestOfAnExtremeLengthIsRefused)
    {
        startProxy();
        auto client = caller();
        client.write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000000000000\r\n\r\nx");
        EXPECT_EQ(client.readResponse().result_int(), 413U);
    }

    class EndlessLineTest : public StreamFixture { };

    // Guards against a log that is flooded, and an engine that is kept busy, by lines of other requests without end.
    TEST_F(EndlessLineTest, LinesOfOtherRequestsAreEndedWithinBounds)
    {
        StreamLimits limits;
        limits.answerTotalBytes = 4 * mebibyte;
        start(limits);
        auto client = caller();
        client.write(request(streamHeader()));
        const auto arrived = nextEvent<node::RequestArrived>(decisions);
        dispatch(arrived, 1);
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(answerHead());
        const RequestKey other { 1, 2 };
        EXPECT_LT(writeUntilClosed(engine, repeated(line(other, attemptText(1), 0, "theirs"))), maxSentBytes);
        EXPECT_EQ(nextEvent<node::AttemptEnded>(decisions).end, node::AttemptEnd::Broken);
    }

} // namespace
} // namespace swiftlift::transport::test
