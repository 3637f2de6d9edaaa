#include <functional>
#include <variant>

#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;

    /** Reads a limit from the field `Limit`, beside what TestDialect reads. */
    class LimitDialect final : public TestDialect {
    public:
        [[nodiscard]] AnswerMarks marks(const AnswerHead& answer) const override
        {
            AnswerMarks marks = TestDialect::marks(answer);
            if (const auto limit = valueOf(answer.fields, "Limit")) {
                marks.announcement.limit = std::stod(std::string(*limit));
            }
            return marks;
        }
    };

    /** How a backend server ends its connection after a part of an answer's head. */
    enum class End { Orderly, Reset };

    void end(Connection& connection, End how)
    {
        if (how == End::Orderly) {
            connection.close();
        } else {
            connection.reset();
        }
    }

    /** Backend servers that end their connections at each byte of an answer's head. */
    class CutHeadTest : public ProxyFixture, public testing::WithParamInterface<End> {
    protected:
        void SetUp() override
        {
            StreamLimits limits;
            limits.bodyBytes = 64 * 1024 * 1024;
            limits.heldBytes = 4 * limits.bodyBytes;
            startProxy(limits, std::make_shared<LimitDialect>());
        }

        /** Sends a request of a new caller. @return The arrived call's next attempt, which is not dispatched yet. */
        [[nodiscard]] node::ProxyDispatch nextAttempt(Connection& client, AnswerKind answer = AnswerKind::Whole,
            bool idempotent = true, const std::string& request = proxyRequest())
        {
            client.write(request);
            return dispatchOf(nextEvent<node::ProxyRequestArrived>(decisions).call, ++lastAttempt_, answer, idempotent);
        }

        /** @return How the attempt ended. Fails if anything was believed of the backend server before. */
        [[nodiscard]] ProxyAttemptEnded endOfAttempt()
        {
            return nextEvent<ProxyAttemptEnded>(decisions, [](const node::Event& event) {
                EXPECT_FALSE(std::holds_alternative<node::BackendAnnounced>(event));
                EXPECT_FALSE(std::holds_alternative<node::ProxyAttemptProgress>(event));
            });
        }

        /** Expects an attempt that is broken and of which nothing is believed. */
        void expectBroken(const std::string& part)
        {
            const ProxyAttemptEnded ended = endOfAttempt();
            EXPECT_EQ(ended.end, ProxyAttemptEnd::Broken) << "after: " << part;
            EXPECT_EQ(ended.events, 0U);
            EXPECT_FALSE(ended.announcement) << "after: " << part;
        }

        /** Runs an attempt for each proper beginning of the head. @param run Brings the attempt to the moment at which
         * its answer is due, and returns the backend server's side of its connection. */
        void cutEverywhere(const std::string& head, const std::function<Connection(Connection&)>& run)
        {
            for (std::size_t bytes = 1; bytes < head.size(); ++bytes) {
                Connection client = caller();
                Connection engine = run(client);
                const std::string part = head.substr(0, bytes);
                engine.write(part);
                end(engine, GetParam());
                expectBroken(part);
                EXPECT_FALSE(client.hasReceived());
            }
        }

        /** A request to a new connection of a backend server. */
        [[nodiscard]] Connection freshConnection(
            Connection& client, AnswerKind answer = AnswerKind::Whole, bool idempotent = true)
        {
            sendCommand(nextAttempt(client, answer, idempotent));
            Connection engine = backend.accept();
            static_cast<void>(engine.readRequest());
            return engine;
        }

        /** A request on a connection on which this earlier answer was received in full. */
        [[nodiscard]] Connection keptConnection(Connection& client, const std::string& earlierAnswer)
        {
            Connection engine = freshConnection(client);
            engine.write(earlierAnswer);
            static_cast<void>(nextEvent<ProxyAttemptEnded>(decisions));
            Connection second = caller();
            sendCommand(nextAttempt(second));
            static_cast<void>(engine.readRequest());
            return engine;
        }

        std::uint64_t lastAttempt_ = 0;
        const std::string head_ = headOf("Limit: 25\r\nContent-Length: 4\r\n");
    };

    // Guards against a part of an answer's head that is taken for an answer, or for a limit that the server states.
    TEST_P(CutHeadTest, AnswerIsBroken)
    {
        cutEverywhere(head_, [this](Connection& client) { return freshConnection(client); });
    }

    // Guards against the same where the request may run only once.
    TEST_P(CutHeadTest, AnswerToANonIdempotentRequestIsBroken)
    {
        cutEverywhere(head_, [this](Connection& client) { return freshConnection(client, AnswerKind::Whole, false); });
    }

    // Guards against a stream without events that looks complete.
    TEST_P(CutHeadTest, StreamIsBroken)
    {
        cutEverywhere(eventHead(), [this](Connection& client) { return freshConnection(client, AnswerKind::Events); });
    }

    // Guards against an answer without a length, whose end is that of its connection.
    TEST_P(CutHeadTest, AnswerWithoutALengthIsBroken)
    {
        cutEverywhere(headOf("Connection: close\r\n"), [this](Connection& client) { return freshConnection(client); });
    }

    // Guards against a status without a body, for which the head alone is the answer.
    TEST_P(CutHeadTest, AnswerWithoutABodyIsBroken)
    {
        cutEverywhere(
            headOf("Limit: 25\r\n", "204 No Content"), [this](Connection& client) { return freshConnection(client); });
    }

    // Guards against a part of a refusal that is taken for the promise that the request was not run.
    TEST_P(CutHeadTest, RefusalIsBroken)
    {
        cutEverywhere(headOf("Not-Started: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n", "503 Full"),
            [this](Connection& client) { return freshConnection(client); });
    }

    // Guards against an interim answer that stands for the final one, whose head is cut.
    TEST_P(CutHeadTest, AnswerAfterAnInterimOneIsBroken)
    {
        cutEverywhere(head_, [this](Connection& client) {
            Connection engine = freshConnection(client);
            engine.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            return engine;
        });
    }

    // Guards against the body or the fields of an earlier answer on the same connection that stand for the cut one.
    TEST_P(CutHeadTest, AnswerOnAKeptConnectionIsBroken)
    {
        cutEverywhere(head_,
            [this](Connection& client) { return keptConnection(client, headOf("Content-Length: 4\r\n") + "full"); });
    }

    // Guards against a refusal whose body was not used, and that stands for the cut answer to the next request.
    TEST_P(CutHeadTest, AnswerAfterARefusalIsBroken)
    {
        const std::string body(8 * 1024, 'x');
        const std::string refusal
            = headOf("Not-Started: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n", "503 Full") + body;
        cutEverywhere(head_, [&](Connection& client) { return keptConnection(client, refusal); });
    }

    // Guards against an answer to another request that stands for the cut one.
    TEST_P(CutHeadTest, AnswerAfterOneToAnotherRequestIsBroken)
    {
        cutEverywhere(head_, [this](Connection& client) {
            Connection engine = freshConnection(client);
            engine.write("HTTP/1.1 200 OK\r\nId: r0\r\nStamp: 1\r\nContent-Length: 5\r\n\r\nother");
            return engine;
        });
    }

    // Guards against an early answer that is cut in its head while the request's body is still written to the server.
    TEST_P(CutHeadTest, EarlyAnswerIsBroken)
    {
        const std::string large = proxyRequest(std::string(12 * 1024 * 1024, 'x'));
        for (const std::size_t bytes : { std::size_t { 10 }, head_.size() - 4, head_.size() - 1 }) {
            Connection client = caller();
            sendCommand(nextAttempt(client, AnswerKind::Whole, true, large));
            Connection engine = backend.accept();
            static_cast<void>(engine.readUntil("\r\n\r\n"));
            engine.write(head_.substr(0, bytes));
            end(engine, GetParam());
            expectBroken(head_.substr(0, bytes));
        }
    }

    // Guards against a part of a head that a relay delivers, also where the relay ends the connection in order.
    TEST_P(CutHeadTest, AnswerThroughARelayIsBroken)
    {
        cutEverywhere(head_, [this](Connection& client) { return connectThroughRelay(nextAttempt(client)); });
    }

    // Guards against callers without chunks, for whom the end of a connection is the end of an answer, and callers that
    // wait for a word before they send the body.
    TEST_P(CutHeadTest, CallersOfOtherKindsReceiveNothingOfIt)
    {
        for (const std::string& request : { proxyRequest("{}", "1.0"),
                 std::string("POST /x HTTP/1.1\r\nHost: x\r\nId: r1\r\nExpect: 100-continue\r\n"
                             "Content-Length: 2\r\n\r\n{}") }) {
            for (std::size_t bytes = 1; bytes < head_.size(); ++bytes) {
                Connection client = caller();
                const node::ProxyDispatch order = nextAttempt(client, AnswerKind::Events, true, request);
                sendCommand(order);
                Connection engine = backend.accept();
                static_cast<void>(engine.readRequest());
                engine.write(head_.substr(0, bytes));
                end(engine, GetParam());
                expectBroken(head_.substr(0, bytes));
                node::Reply reply;
                reply.call = order.call;
                reply.status = 502;
                reply.reason = "broken";
                sendCommand(reply);
                EXPECT_EQ(client.readResponse().result_int(), 502U);
            }
        }
    }

    // Guards against a head whose end comes before the fields that sign the answer: what follows would be its body.
    TEST_P(CutHeadTest, HeadThatEndsBeforeItsSignatureIsNoAnswer)
    {
        for (const std::string head :
            { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "HTTP/1.1 200 OK\r\nStamp: 1\r\n\r\n" }) {
            Connection client = caller();
            Connection engine = freshConnection(client);
            engine.write(head + "Content-Length: 4\r\n\r\nfull");
            end(engine, GetParam());
            expectBroken(head);
        }
    }

    INSTANTIATE_TEST_SUITE_P(Ends, CutHeadTest, testing::Values(End::Orderly, End::Reset),
        [](const auto& ending) { return ending.param == End::Orderly ? "Orderly" : "Reset"; });

    /** Model engines of the project's own interface that end their connections within an answer's head. */
    class CutLinesTest : public StreamFixture { };

    // Guards against a part of a model engine's head that is taken for an answer of no lines.
    TEST_F(CutLinesTest, AnswerOfAModelEngineIsBroken)
    {
        start();
        const std::string head = answerHead();
        for (std::size_t bytes = 1; bytes < head.size(); ++bytes) {
            Connection client = caller();
            client.write(request(streamHeader()));
            dispatch(nextEvent<node::RequestArrived>(decisions), bytes);
            Connection engine = backend.accept();
            static_cast<void>(engine.readRequest());
            engine.write(head.substr(0, bytes));
            engine.close();
            EXPECT_EQ(nextEvent<node::AttemptEnded>(decisions).end, node::AttemptEnd::Broken) << bytes;
            EXPECT_FALSE(client.hasReceived());
        }
    }

} // namespace
} // namespace swiftlift::transport::test
