#pragma once

#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "swiftlift/transport/CallerText.h"
#include "swiftlift/transport/Hashing.h"
#include "swiftlift/transport/StreamServer.h"
#include "transport/Network.h"

namespace swiftlift::transport::test {

/**
 * @return The next event of the type. Throws if none arrives within `longWait`.
 * @param seen Called with each event before it; these are dropped.
 */
template <typename Event, typename Seen> Event nextEvent(DecisionInbox& inbox, Seen&& seen)
{
    const auto until = std::chrono::steady_clock::now() + longWait;
    while (std::chrono::steady_clock::now() < until) {
        if (const auto tagged = inbox.tryPop()) {
            if (const auto* event = std::get_if<Event>(&tagged->event)) {
                return *event;
            }
            seen(tagged->event);
            continue;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    throw std::runtime_error("the expected event did not arrive in time");
}

/** @return The next event of the type; events before it are dropped. Throws if none arrives within `longWait`. */
template <typename Event> Event nextEvent(DecisionInbox& inbox)
{
    return nextEvent<Event>(inbox, [](const node::Event&) {});
}

class CountingObserver : public StreamObserver {
public:
    void firstToken(std::chrono::microseconds) override { ++firstTokens; }
    void betweenTokens(std::chrono::microseconds) override { ++gaps; }

    std::atomic<int> firstTokens = 0;
    std::atomic<int> gaps = 0;
};

/** Runs a StreamServer; the test acts as its callers, its backend server and its core. */
class StreamFixture : public testing::Test {
protected:
    static constexpr Incarnation incarnation { 0xABC };

    void start(StreamLimits limits = {})
    {
        server = std::make_unique<StreamServer>(limits, decisions, observer, log);
        ASSERT_TRUE(server->listen({ "127.0.0.1", 0 })) << server->lastReason();
        server->start();
        sendCommand(BeginIncarnation { incarnation });
    }

    void sendCommand(StreamCommand command) { ASSERT_TRUE(server->inbox().tryPush(std::move(command))); }

    [[nodiscard]] Connection caller() const { return connectTo(server->port()); }

    /** @return The bytes of a caller's request. */
    [[nodiscard]] static std::string request(
        const std::string& headers = {}, const std::string& body = R"({"prompt":"hello","max_tokens":8})")
    {
        return "POST /v1/services/chat/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
               "Swiftlift-Account: acme\r\nSwiftlift-Request-Id: r1\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    [[nodiscard]] static std::string streamHeader() { return "Swiftlift-Stream: true\r\n"; }

    /** Sends the dispatch of an arrived request to `backend`. */
    void dispatch(const node::RequestArrived& arrived, std::uint64_t attempt, std::int64_t resumeFrom = 0,
        node::BackendKind kind = node::BackendKind::Model)
    {
        node::Dispatch dispatch;
        dispatch.call = arrived.call;
        dispatch.attempt = AttemptId(attempt);
        dispatch.backend = BackendId(backend.address());
        dispatch.kind = kind;
        dispatch.key = arrived.request.key;
        dispatch.body = arrived.request.body;
        dispatch.resumeFrom = Tokens(resumeFrom);
        dispatch.silenceLimit = longWait;
        sendCommand(dispatch);
    }

    void replyAnswered(CallId call, std::int64_t billed = 7)
    {
        node::Reply reply;
        reply.call = call;
        reply.outcome = node::Outcome::Answered;
        reply.billed = Tokens(billed);
        sendCommand(reply);
    }

    [[nodiscard]] static std::string answerHead() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }

    [[nodiscard]] static std::string chunkOf(const std::string& line)
    {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", line.size());
        return size + line + "\r\n";
    }

    [[nodiscard]] static std::string attemptText(std::uint64_t attempt)
    {
        return toHex(incarnation.value()) + "-" + std::to_string(attempt);
    }

    [[nodiscard]] static std::string line(
        const RequestKey& key, const std::string& attempt, int index, const std::string& token)
    {
        const nlohmann::json json { { "key", toHex(key) }, { "attempt", attempt }, { "index", index },
            { "token", token } };
        return chunkOf(json.dump() + "\n");
    }

    [[nodiscard]] static std::string done(const RequestKey& key, const std::string& attempt, int tokens)
    {
        const nlohmann::json json { { "key", toHex(key) }, { "attempt", attempt }, { "done", true },
            { "prompt_tokens", 2 }, { "answer_tokens", tokens }, { "cached_prompt_tokens", 1 } };
        return chunkOf(json.dump() + "\n") + "0\r\n\r\n";
    }

    DecisionInbox decisions { decisionRingCapacity };
    CountingObserver observer;
    logging::JsonLog log { { "/dev/null", logging::Level::Info, "127.0.0.1:1", 1024 } };
    Listener backend;
    std::unique_ptr<StreamServer> server;
};

} // namespace swiftlift::transport::test
