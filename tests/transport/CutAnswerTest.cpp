#include <span>

#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;
    using std::chrono::milliseconds;

    using std::chrono::microseconds;

    constexpr std::size_t mebibyte = 1024 * 1024;
    /** The largest body fills the buffers of both ends of a connection, the smallest does not. */
    constexpr std::size_t bodySizes[] = { mebibyte / 4, 3 * mebibyte, 12 * mebibyte };
    /** Pauses of a server between a part of its answer and its reset, while the request's body arrives. */
    constexpr microseconds resetPauses[] = { microseconds(0), microseconds(250), microseconds(500), microseconds(750),
        microseconds(1000), microseconds(1500), microseconds(2000) };
    constexpr int roundsPerPause = 8;

    /** Answers without a length and without chunks, for which only an orderly end of the connection shows that they are
     * complete. The test acts as the backend server or as the relay. */
    class CutAnswerTest : public ProxyFixture {
    protected:
        /** Dispatches a request through a relay and connects it. @return The relay's side of the connection. */
        [[nodiscard]] Connection relayedAttempt(Connection& client)
        {
            client.write(proxyRequest());
            return connectThroughRelay(
                dispatchOf(nextEvent<node::ProxyRequestArrived>(decisions).call, 1, AnswerKind::Whole));
        }

        [[nodiscard]] static StreamLimits limitsForLargeBodies()
        {
            StreamLimits limits;
            limits.bodyBytes = 16 * mebibyte;
            limits.heldBytes = 8 * limits.bodyBytes;
            return limits;
        }

        void startProxyForLargeBodies() { startProxy(limitsForLargeBodies()); }

        /** Sends a request with a body of this size, and dispatches it. */
        void dispatchLarge(Connection& client, std::size_t bodyBytes, std::optional<RelayAddress> relay = std::nullopt,
            AnswerKind answer = AnswerKind::Whole)
        {
            client.write(proxyRequest(std::string(bodyBytes, 'x')));
            auto order = dispatchOf(nextEvent<node::ProxyRequestArrived>(decisions).call, ++lastAttempt_, answer);
            if (relay) {
                order.relay = node::RelayRoute { {}, *relay };
            }
            sendCommand(std::move(order));
        }

        /** Dispatches a request with a large body. @return The server's side, with the request's head read. */
        [[nodiscard]] Connection startLarge(
            Connection& client, std::size_t bodyBytes, AnswerKind answer = AnswerKind::Whole)
        {
            dispatchLarge(client, bodyBytes, std::nullopt, answer);
            auto engine = backend.accept();
            static_cast<void>(engine.readUntil("\r\n\r\n"));
            return engine;
        }

        /** The same; the server sends a part and ends its own side in order, while the request is written to it. */
        [[nodiscard]] Connection startEndedEarly(Connection& client)
        {
            Connection engine = startLarge(client, 12 * mebibyte);
            engine.write(part_);
            engine.endSending();
            std::this_thread::sleep_for(milliseconds(40));
            return engine;
        }

        /** Dispatches a request with a large body through a relay. @return The relay's side, with the request's head
         * read. */
        [[nodiscard]] Connection startLargeThroughRelay(Connection& client, std::size_t bodyBytes)
        {
            dispatchLarge(client, bodyBytes, RelayAddress(backend.address()));
            auto relay = backend.accept();
            static_cast<void>(relay.readUntil("\r\n\r\n"));
            relay.write("HTTP/1.1 200 OK\r\n\r\n");
            static_cast<void>(relay.readUntil("\r\n\r\n"));
            return relay;
        }

        /**
         * Answers many requests with a part, each reset after another pause.
         * @param start Starts a request.
         * @param isBroken Waits for the attempt's end and tells whether it is Broken.
         */
        template <typename Start, typename IsBroken>
        void expectResetsAreBroken(const std::string& part, const Start& start, const IsBroken& isBroken,
            std::span<const std::size_t> sizes = bodySizes)
        {
            for (const std::size_t bodyBytes : sizes) {
                for (const microseconds pause : resetPauses) {
                    int broken = 0;
                    for (int round = 0; round < roundsPerPause; ++round) {
                        auto client = caller();
                        Connection other = start(client, bodyBytes);
                        other.write(part);
                        std::this_thread::sleep_for(pause);
                        other.reset();
                        broken += isBroken() ? 1 : 0;
                    }
                    EXPECT_EQ(broken, roundsPerPause) << bodyBytes << " bytes, reset after " << pause.count() << " us";
                }
            }
        }

        [[nodiscard]] bool attemptIsBroken() { return attemptEnd() == ProxyAttemptEnd::Broken; }

        [[nodiscard]] ProxyAttemptEnd attemptEnd() { return nextEvent<ProxyAttemptEnded>(decisions).end; }

        std::uint64_t lastAttempt_ = 0;
        const std::string part_ = headOf("Connection: close\r\n") + "part";
    };

    // Guards against an answer that is refused although its server sent all of it.
    TEST_F(CutAnswerTest, OrderlyEndOfTheServerIsComplete)
    {
        startProxy();
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, AnswerKind::Whole));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(part_);
        engine.close();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Completed);
        EXPECT_EQ(client.readResponse().body(), "part");
    }

    // Guards against a part of an answer that looks complete because its server crashed.
    TEST_F(CutAnswerTest, ResetByTheServerIsBroken)
    {
        startProxy();
        auto client = caller();
        static_cast<void>(dispatchNext(client, 1, AnswerKind::Whole));
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(part_);
        engine.reset();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Broken);
    }

    // Guards against a server's reset that the write of the request meets first, after which a read reports an orderly
    // end.
    TEST_F(CutAnswerTest, ResetWhileTheRequestIsWrittenIsBroken)
    {
        startProxyForLargeBodies();
        auto client = caller();
        Connection engine = startLarge(client, 12 * mebibyte);
        engine.write(part_);
        std::this_thread::sleep_for(milliseconds(100));
        engine.reset();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Broken);
    }

    // Guards against a part of an early answer that looks complete: the end of the connection is handled before the
    // failure of the write that met the reset.
    TEST_F(CutAnswerTest, ResetAtAnyTimeWhileTheRequestIsWrittenIsBroken)
    {
        startProxyForLargeBodies();
        expectResetsAreBroken(
            part_, [this](Connection& client, std::size_t bytes) { return startLarge(client, bytes); },
            [this] { return attemptIsBroken(); });
    }

    // Guards against the same for a stream without chunks that is reset after a whole event.
    TEST_F(CutAnswerTest, ResetOfAStreamAtAnyTimeWhileTheRequestIsWrittenIsBroken)
    {
        startProxyForLargeBodies();
        expectResetsAreBroken(
            eventHead("Connection: close\r\n") + event(1),
            [this](Connection& client, std::size_t bytes) { return startLarge(client, bytes, AnswerKind::Events); },
            [this] { return attemptIsBroken(); });
    }

    // Guards against the same on the project's own interface, where a part of the answer may be whole JSON.
    TEST_F(CutAnswerTest, ResetOfACallAtAnyTimeWhileTheRequestIsWrittenIsBroken)
    {
        start(limitsForLargeBodies());
        expectResetsAreBroken(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
            [this](Connection& client, std::size_t bytes) {
                client.write(request({}, R"({"text":")" + std::string(bytes, 'x') + "\"}"));
                dispatch(nextEvent<node::RequestArrived>(decisions), ++lastAttempt_, 0, node::BackendKind::Plain);
                auto service = backend.accept();
                static_cast<void>(service.readUntil("\r\n\r\n"));
                return service;
            },
            [this] { return nextEvent<node::AttemptEnded>(decisions).end == node::AttemptEnd::Broken; },
            std::span(bodySizes).first(2));
    }

    // Guards against the same where the connection is that to a relay.
    TEST_F(CutAnswerTest, ResetByTheRelayAtAnyTimeWhileTheRequestIsWrittenIsBroken)
    {
        startProxyForLargeBodies();
        expectResetsAreBroken(
            part_, [this](Connection& client, std::size_t bytes) { return startLargeThroughRelay(client, bytes); },
            [this] { return attemptIsBroken(); });
    }

    // Guards against a part of an early answer that looks complete: its server ends its own side in order and then
    // resets the connection, without reading the whole request.
    TEST_F(CutAnswerTest, ResetAfterTheServersEndWhileTheRequestIsWrittenIsBroken)
    {
        startProxyForLargeBodies();
        auto client = caller();
        Connection engine = startEndedEarly(client);
        engine.reset();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Broken);
    }

    // Guards against an early answer that is refused although its server sent all of it and read the whole request.
    TEST_F(CutAnswerTest, EarlyEndOfTheServerThatReadsTheRequestIsComplete)
    {
        startProxyForLargeBodies();
        auto client = caller();
        Connection engine = startEndedEarly(client);
        EXPECT_EQ(engine.readToEnd(), 12 * mebibyte);
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Completed);
        EXPECT_EQ(client.readResponse().body(), "part");
    }

    // Guards against an early answer with a length that waits for a request which its server doesn't read.
    TEST_F(CutAnswerTest, EarlyAnswerWithALengthNeedsNoWholeRequest)
    {
        startProxyForLargeBodies();
        auto client = caller();
        Connection engine = startLarge(client, 12 * mebibyte);
        engine.write(headOf("Content-Length: 4\r\n") + "full");
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Completed);
        EXPECT_EQ(client.readResponse().body(), "full");
    }

    // Guards against an answer that is refused because it came through a relay.
    TEST_F(CutAnswerTest, OrderlyEndOfTheRelayIsComplete)
    {
        startProxy();
        auto client = caller();
        auto relay = relayedAttempt(client);
        relay.write(part_);
        relay.close();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Completed);
    }

    // Guards against a part of an answer that looks complete because a relay passes a server's reset on.
    TEST_F(CutAnswerTest, ResetByTheRelayIsBroken)
    {
        startProxy();
        auto client = caller();
        auto relay = relayedAttempt(client);
        relay.write(part_);
        relay.reset();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Broken);
    }

} // namespace
} // namespace swiftlift::transport::test
