#pragma once

#include <memory>
#include <optional>
#include <string>

#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {

/** A proxy dialect with short header names. */
class TestDialect : public ProxyDialect {
public:
    [[nodiscard]] std::variant<node::ProxyRequestInfo, node::Reply> facts(const RequestHead& request) const override
    {
        node::ProxyRequestInfo info;
        info.id = valueOf(request.fields, "Id").value_or("");
        info.path = request.target;
        return info;
    }

    [[nodiscard]] HeaderFields towardsBackend(const HeaderFields& fields, const node::ProxyDispatch& /*order*/,
        std::optional<std::uint64_t> /*lastEvent*/) const override
    {
        return fields;
    }

    [[nodiscard]] AnswerMarks marks(const AnswerHead& answer) const override
    {
        AnswerMarks marks;
        marks.requestId = valueOf(answer.fields, "Id").value_or("");
        marks.genuine = valueOf(answer.fields, "Stamp").has_value();
        marks.notStarted = valueOf(answer.fields, "Not-Started").has_value();
        return marks;
    }

    [[nodiscard]] HeaderFields ofRefusal(
        const node::Reply& /*refusal*/, const std::string& /*requestId*/) const override
    {
        return {};
    }
};

/** Runs a StreamServer that proxies requests; the test acts as its callers, its backend servers and its core. */
class ProxyFixture : public StreamFixture {
protected:
    /** Maximum silence of a backend server for dispatches of idempotent requests. */
    static constexpr std::chrono::milliseconds silenceLimit { 2'000 };

    void startProxy(
        StreamLimits limits = {}, std::shared_ptr<const ProxyDialect> dialect = std::make_shared<TestDialect>())
    {
        server = std::make_unique<StreamServer>(limits, decisions, observer, log, std::move(dialect));
        ASSERT_TRUE(server->listen({ "127.0.0.1", 0 })) << server->lastReason();
        server->start();
        sendCommand(BeginIncarnation { incarnation });
    }

    /** @return The bytes of a caller's request with the id `r1`. */
    [[nodiscard]] static std::string proxyRequest(const std::string& body = "{}", const std::string& version = "1.1")
    {
        return "POST /x HTTP/" + version + "\r\nHost: x\r\nId: r1\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    /** @return The dispatch of an arrived request to `backend`. */
    [[nodiscard]] node::ProxyDispatch dispatchOf(
        CallId call, std::uint64_t attempt, fleet::AnswerKind answer, bool idempotent = true) const
    {
        node::ProxyDispatch order;
        order.call = call;
        order.attempt = AttemptId(attempt);
        order.backend = BackendId(backend.address());
        order.address = BackendAddress(backend.address());
        order.answer = answer;
        order.timeLeft = silenceLimit;
        if (idempotent) {
            order.silenceLimit = silenceLimit;
        }
        return order;
    }

    /** Sends a request on the caller's connection and dispatches it. @return The request's call. */
    CallId dispatchNext(Connection& client, std::uint64_t attempt, fleet::AnswerKind answer, bool idempotent = true)
    {
        client.write(proxyRequest());
        const CallId call = nextEvent<node::ProxyRequestArrived>(decisions).call;
        sendCommand(dispatchOf(call, attempt, answer, idempotent));
        return call;
    }

    /** Dispatches the attempt through a relay and connects it. @return The relay's side of the connection. */
    [[nodiscard]] Connection connectThroughRelay(node::ProxyDispatch order)
    {
        order.relay = node::RelayRoute { {}, RelayAddress(backend.address()) };
        sendCommand(std::move(order));
        auto relay = backend.accept();
        static_cast<void>(relay.readUntil("\r\n\r\n"));
        relay.write("HTTP/1.1 200 OK\r\n\r\n");
        static_cast<void>(relay.readRequest());
        return relay;
    }

    /** @return The head of a backend server's answer to the request, with these further fields. */
    [[nodiscard]] static std::string headOf(const std::string& fields, const std::string& status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\nId: r1\r\nStamp: 1\r\n" + fields + "\r\n";
    }

    [[nodiscard]] static std::string eventHead(const std::string& fields = "Transfer-Encoding: chunked\r\n")
    {
        return headOf("Content-Type: text/event-stream\r\n" + fields);
    }

    [[nodiscard]] static std::string event(std::uint64_t id, const std::string& data = "x")
    {
        return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
    }
};

} // namespace swiftlift::transport::test
