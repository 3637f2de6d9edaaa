#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;
    using std::chrono::milliseconds;

    constexpr std::size_t mebibyte = 1024 * 1024;

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

        [[nodiscard]] ProxyAttemptEnd attemptEnd() { return nextEvent<ProxyAttemptEnded>(decisions).end; }

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
        constexpr std::size_t bodyBytes = 12 * mebibyte;
        StreamLimits limits;
        limits.bodyBytes = 2 * bodyBytes;
        limits.heldBytes = 8 * bodyBytes;
        startProxy(limits);
        auto client = caller();
        client.write(proxyRequest(std::string(bodyBytes, 'x')));
        sendCommand(dispatchOf(nextEvent<node::ProxyRequestArrived>(decisions).call, 1, AnswerKind::Whole));
        auto engine = backend.accept();
        static_cast<void>(engine.readUntil("\r\n\r\n"));
        engine.write(part_);
        std::this_thread::sleep_for(milliseconds(100));
        engine.reset();
        EXPECT_EQ(attemptEnd(), ProxyAttemptEnd::Broken);
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
