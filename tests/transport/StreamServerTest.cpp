#include <future>

#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {

using node::AttemptEnd;
using node::AttemptEnded;
using node::RequestArrived;

TEST_F(StreamFixture, CompleteAnswerIsSentWithBilledTokens)
{
    start();
    auto client = caller();
    client.write(request());
    const auto arrived = nextEvent<RequestArrived>(decisions);
    EXPECT_EQ(arrived.request.service, ServiceName("chat"));
    EXPECT_EQ(arrived.request.promptTokens, Tokens(2));
    EXPECT_EQ(arrived.request.keyHash, keyHash("secret"));
    dispatch(arrived, 1);
    auto engine = backend.accept();
    const auto backendRequest = engine.readRequest();
    EXPECT_EQ(backendRequest.target(), "/generate");
    EXPECT_EQ(backendRequest["X-Attempt-Id"], attemptText(1));
    const auto& key = arrived.request.key;
    EXPECT_EQ(backendRequest["X-Request-Key"], toHex(key));
    engine.write(answerHead() + line(key, attemptText(1), 0, "a") + line(key, attemptText(1), 1, "b")
        + done(key, attemptText(1), 2));
    const auto ended = nextEvent<AttemptEnded>(decisions);
    EXPECT_EQ(ended.end, AttemptEnd::Completed);
    EXPECT_EQ(ended.answerTokens, Tokens(2));
    EXPECT_EQ(ended.cachedPromptTokens, Tokens(1));
    replyAnswered(arrived.call, 4);
    const auto answer = client.readResponse();
    EXPECT_EQ(answer.result_int(), 200U);
    EXPECT_EQ(answer.body(),
        R"({"outcome":"answered","request":"r1","text":"ab","prompt_tokens":2,"answer_tokens":2,"billed_tokens":4})");
}

TEST_F(StreamFixture, StreamForwardsEachTokenAndEndsWithBilledTokens)
{
    start();
    auto client = caller();
    client.write(request(streamHeader()));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 1);
    auto engine = backend.accept();
    static_cast<void>(engine.readRequest());
    const auto& key = arrived.request.key;
    engine.write(answerHead() + line(key, attemptText(1), 0, "a"));
    EXPECT_NE(client.readUntil(R"({"token":"a","index":0})").find("200 OK"), std::string::npos);
    EXPECT_EQ(nextEvent<node::AttemptProgress>(decisions).answerTokens, Tokens(1));
    engine.write(line(key, attemptText(1), 1, "b") + done(key, attemptText(1), 2));
    static_cast<void>(client.readUntil(R"({"token":"b","index":1})"));
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::Completed);
    replyAnswered(arrived.call);
    EXPECT_NE(client.readUntil("0\r\n\r\n").find(R"({"outcome":"answered")"), std::string::npos);
    EXPECT_EQ(observer.firstTokens, 1);
    EXPECT_EQ(observer.gaps, 1);
}

TEST_F(StreamFixture, RefusalBeforeFirstStreamTokenHasItsOwnStatus)
{
    start();
    auto client = caller();
    client.write(request(streamHeader()));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    auto refused = refusal(402, "budget_exhausted", "nothing left");
    refused.call = arrived.call;
    refused.retryAfter = std::chrono::milliseconds(1500);
    sendCommand(refused);
    const auto answer = client.readResponse();
    EXPECT_EQ(answer.result_int(), 402U);
    EXPECT_EQ(answer["Retry-After"], "2");
    EXPECT_EQ(answer.body(),
        R"({"outcome":"refused","run":"not_run","request":"r1","reason":"budget_exhausted",)"
        R"("detail":"nothing left","retry_after_ms":1500})");
}

// Guards against a caller receiving a token of another request's answer, or of an earlier attempt of its own request.
// An engine under load may write lines of another request, or of a cancelled attempt, between the lines of an answer; a
// line has to be matched by key and attempt, not only by its connection.
TEST_F(StreamFixture, LinesOfOtherRequestsAndAttemptsAreNotForwarded)
{
    start();
    auto client = caller();
    client.write(request());
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 2);
    auto engine = backend.accept();
    static_cast<void>(engine.readRequest());
    const auto& key = arrived.request.key;
    const RequestKey other { 1, 2 };
    engine.write(answerHead() + line(other, attemptText(2), 0, "theirs") + line(key, attemptText(1), 0, "late")
        + done(other, attemptText(2), 1).substr(0, done(other, attemptText(2), 1).size() - 5)
        + line(key, attemptText(2), 0, "mine") + chunkOf("no JSON\n") + done(key, attemptText(2), 1));
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::Completed);
    replyAnswered(arrived.call);
    EXPECT_EQ(nlohmann::json::parse(client.readResponse().body())["text"], "mine");
    while (server->counts().foreignLines < 4) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(server->counts().foreignLines, 4U);
}

// Guards against an answer that lacks a token and is reported as complete. After a lost line, the next line's index is
// too high, or the last line's token count exceeds the number of received tokens.
TEST_F(StreamFixture, AnswerWithMissingTokenIsBroken)
{
    start();
    for (const bool inLastLine : { false, true }) {
        auto client = caller();
        client.write(request());
        const auto arrived = nextEvent<RequestArrived>(decisions);
        const std::uint64_t attempt = inLastLine ? 2 : 1;
        dispatch(arrived, attempt);
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        const auto& key = arrived.request.key;
        engine.write(answerHead() + line(key, attemptText(attempt), 0, "a")
            + (inLastLine ? done(key, attemptText(attempt), 2) : line(key, attemptText(attempt), 2, "c")));
        const auto ended = nextEvent<AttemptEnded>(decisions);
        EXPECT_EQ(ended.end, AttemptEnd::Broken);
        EXPECT_EQ(ended.answerTokens, Tokens(1));
    }
}

// Guards against a repeated or missing token in a stream that resumes at another backend server. The first server
// crashes after two tokens; the second server ignores X-Resume-From and starts at token 0.
TEST_F(StreamFixture, ResumedStreamHasNoMissingOrRepeatedToken)
{
    start();
    auto client = caller();
    client.write(request(streamHeader()));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    const auto& key = arrived.request.key;
    dispatch(arrived, 1);
    {
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(answerHead() + line(key, attemptText(1), 0, "a") + line(key, attemptText(1), 1, "b"));
        static_cast<void>(client.readUntil(R"("index":1})"));
    }
    const auto broken = nextEvent<AttemptEnded>(decisions);
    EXPECT_EQ(broken.end, AttemptEnd::Broken);
    EXPECT_EQ(broken.answerTokens, Tokens(2));
    dispatch(arrived, 2, 2);
    auto engine = backend.accept();
    EXPECT_EQ(engine.readRequest()["X-Resume-From"], "2");
    engine.write(answerHead() + line(key, attemptText(2), 0, "a") + line(key, attemptText(2), 1, "b")
        + line(key, attemptText(2), 2, "c") + done(key, attemptText(2), 3));
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).answerTokens, Tokens(3));
    replyAnswered(arrived.call);
    const std::string rest = client.readUntil("0\r\n\r\n");
    EXPECT_EQ(rest.find(R"("token":"a")"), std::string::npos);
    EXPECT_EQ(rest.find(R"("token":"b")"), std::string::npos);
    EXPECT_NE(rest.find(R"({"token":"c","index":2})"), std::string::npos);
}

// Guards against a backend server that keeps generating for a disconnected caller, whose account is billed for the
// tokens.
TEST_F(StreamFixture, CallerDisconnectIsReportedAndCancelledAttemptClosesConnection)
{
    start();
    auto client = caller();
    client.write(request(streamHeader()));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 1);
    auto engine = backend.accept();
    static_cast<void>(engine.readRequest());
    engine.write(answerHead() + line(arrived.request.key, attemptText(1), 0, "a"));
    static_cast<void>(client.readUntil(R"("index":0})"));
    client.close();
    EXPECT_EQ(nextEvent<node::CallerDisconnected>(decisions).call, arrived.call);
    sendCommand(node::CancelAttempt { AttemptId(1) });
    EXPECT_TRUE(engine.closes());
}

// Guards against a caller that doesn't read and makes the router buffer all output of its engine. The engine writes
// about 30 MB; the router has to pause reading from the engine and resume when the caller reads, without losing a
// token.
TEST_F(StreamFixture, SlowCallerHasBoundedMemoryAndLosesNoToken)
{
    constexpr int tokens = 30'000;
    StreamLimits limits;
    start(limits);
    auto client = caller();
    client.write(request(streamHeader(), R"({"prompt":"hello","max_tokens":100000})"));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 1);
    auto engine = backend.accept();
    static_cast<void>(engine.readRequest());
    const auto& key = arrived.request.key;
    const auto writer = std::async(std::launch::async, [&] {
        const std::string token(1000, 'x');
        engine.write(answerHead());
        for (int index = 0; index < tokens; ++index) {
            engine.write(line(key, attemptText(1), index, token));
        }
        engine.write(done(key, attemptText(1), tokens));
    });
    while (server->counts().pauses == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    for (int index = 0; index < tokens; ++index) {
        const std::string mark = "\"index\":" + std::to_string(index) + "}";
        ASSERT_LT(client.readUntil(mark).size(), 1200U) << "more than one line before index " << index;
    }
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::Completed);
    constexpr std::size_t maxReadBytes = 32 * 1024;
    EXPECT_LT(server->counts().mostUnsentBytes, limits.pauseAboveBytes + maxReadBytes);
}

TEST_F(StreamFixture, SilentBackendEndsAttemptAsBroken)
{
    start();
    auto client = caller();
    client.write(request());
    const auto arrived = nextEvent<RequestArrived>(decisions);
    node::Dispatch silentDispatch;
    silentDispatch.call = arrived.call;
    silentDispatch.attempt = AttemptId(1);
    silentDispatch.backend = BackendId(backend.address());
    silentDispatch.silenceLimit = std::chrono::milliseconds(50);
    sendCommand(silentDispatch);
    auto engine = backend.accept();
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::Broken);
    EXPECT_TRUE(engine.closes());
}

TEST_F(StreamFixture, BackendFailuresMapToAttemptEnds)
{
    start();
    struct Case {
        std::string answer;
        AttemptEnd end;
    };
    const std::vector<Case> cases { { jsonAnswer(429, R"({"error":"full"})"), AttemptEnd::NotStarted },
        { jsonAnswer(503, R"({"error":"leaving"})"), AttemptEnd::Leaving },
        { jsonAnswer(503, R"({"error":"outage"})"), AttemptEnd::NotStarted },
        { jsonAnswer(500, "{}"), AttemptEnd::Broken }, { "garbage\r\n\r\n", AttemptEnd::Broken },
        { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", AttemptEnd::Broken } };
    std::uint64_t attempt = 0;
    for (const auto& [answer, end] : cases) {
        auto client = caller();
        client.write(request());
        const auto arrived = nextEvent<RequestArrived>(decisions);
        dispatch(arrived, ++attempt);
        auto engine = backend.accept();
        static_cast<void>(engine.readRequest());
        engine.write(answer);
        engine.close();
        EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, end) << answer;
    }
}

// Guards against a limit, a leaving or a rest that a backend server states and that is not passed to the core.
TEST_F(StreamFixture, AnnouncementsInTheHeadOfAnAnswerAreReported)
{
    start();
    auto client = caller();
    client.write(request());
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 1);
    auto engine = backend.accept();
    static_cast<void>(engine.readRequest());
    engine.write("HTTP/1.1 503 Service Unavailable\r\nX-Limit: 2.5\r\nX-Leaving: 1\r\nRetry-After: 3\r\n"
                 "Content-Length: 2\r\n\r\n{}");
    const auto announced = nextEvent<node::BackendAnnounced>(decisions);
    const routing::Announcement expected { 2.5, true, std::chrono::seconds(3) };
    EXPECT_EQ(announced.backend, BackendId(backend.address()));
    EXPECT_EQ(announced.announcement, expected);
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).announcement, expected);
}

TEST_F(StreamFixture, RefusedConnectionEndsAttemptAsNotStarted)
{
    start();
    auto client = caller();
    client.write(request());
    const auto arrived = nextEvent<RequestArrived>(decisions);
    node::Dispatch unreachableDispatch;
    unreachableDispatch.call = arrived.call;
    unreachableDispatch.attempt = AttemptId(1);
    {
        const Listener closed;
        unreachableDispatch.backend = BackendId(closed.address());
    }
    sendCommand(unreachableDispatch);
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::NotStarted);
}

TEST_F(StreamFixture, BackendConnectionsAreReusedOnlyForIdempotentRequests)
{
    start();
    auto client = caller();
    std::optional<Connection> engine;
    std::uint64_t attempt = 0;
    for (const std::string headers : { "", "", "Swiftlift-Idempotent: false\r\n" }) {
        client.write(request(headers));
        const auto arrived = nextEvent<RequestArrived>(decisions);
        dispatch(arrived, ++attempt);
        if (attempt != 2) {
            engine.emplace(backend.accept());
        }
        const auto backendRequest = engine->readRequest();
        const auto& key = arrived.request.key;
        engine->write(answerHead() + line(key, attemptText(attempt), 0, "a") + done(key, attemptText(attempt), 1));
        static_cast<void>(nextEvent<AttemptEnded>(decisions));
        replyAnswered(arrived.call);
        EXPECT_EQ(client.readResponse().result_int(), 200U);
    }
    EXPECT_TRUE(engine->closes());
    while (server->counts().backendConnects < 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(server->counts().backendConnects, 2U);
    EXPECT_EQ(server->counts().backendReuses, 1U);
}

TEST_F(StreamFixture, PlainAnswerIsForwardedUnchanged)
{
    start();
    auto client = caller();
    client.write(request({}, R"({"order":17})"));
    const auto arrived = nextEvent<RequestArrived>(decisions);
    dispatch(arrived, 1, 0, node::BackendKind::Plain);
    auto service = backend.accept();
    const auto backendRequest = service.readRequest();
    EXPECT_EQ(backendRequest.target(), "/call");
    EXPECT_EQ(backendRequest.body(), R"({"order":17})");
    service.write(jsonAnswer(200, R"({"ok":true})"));
    EXPECT_EQ(nextEvent<AttemptEnded>(decisions).end, AttemptEnd::Completed);
    replyAnswered(arrived.call);
    EXPECT_EQ(nlohmann::json::parse(client.readResponse().body())["text"], R"({"ok":true})");
}

} // namespace swiftlift::transport::test
