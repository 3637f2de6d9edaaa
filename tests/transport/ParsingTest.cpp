#include <gtest/gtest.h>

#include "swiftlift/transport/Endpoint.h"
#include "swiftlift/transport/Hashing.h"
#include "swiftlift/transport/RequestParsing.h"
#include "transport/PlatformReports.h"

namespace swiftlift::transport {

namespace {

    RawRequest rawRequest()
    {
        RawRequest raw;
        raw.method = "POST";
        raw.target = "/v1/services/chat/requests";
        raw.authorization = "Bearer secret";
        raw.account = "acme";
        raw.requestId = "r-1";
        raw.body = R"({"prompt":"hello","max_tokens":64})";
        return raw;
    }

    node::CallerRequest accepted(const RawRequest& raw)
    {
        const auto parsed = parseRequest(raw);
        EXPECT_TRUE(std::holds_alternative<node::CallerRequest>(parsed));
        return std::get<node::CallerRequest>(parsed);
    }

    node::Reply refused(const RawRequest& raw)
    {
        const auto parsed = parseRequest(raw);
        EXPECT_TRUE(std::holds_alternative<node::Reply>(parsed));
        return std::get<node::Reply>(parsed);
    }

} // namespace

TEST(RequestParsing, AbsentHeadersHaveDefaults)
{
    const auto request = accepted(rawRequest());
    EXPECT_EQ(request.attempt, 1U);
    EXPECT_FALSE(request.deadline);
    EXPECT_TRUE(request.idempotent);
    EXPECT_FALSE(request.stream);
    EXPECT_EQ(request.priority, node::Priority::Normal);
    EXPECT_EQ(request.promptTokens, Tokens(2));
    EXPECT_EQ(request.maxAnswerTokens, Tokens(64));
    EXPECT_EQ(request.prefixHash, prefixHash("hello"));
    EXPECT_EQ(request.key, requestKey(AccountId("acme"), CallerRequestId("r-1")));
}

TEST(RequestParsing, OptionsAreParsed)
{
    auto raw = rawRequest();
    raw.attempt = "3";
    raw.deadline = "1500";
    raw.idempotent = "false";
    raw.stream = "true";
    raw.priority = "interactive";
    const auto request = accepted(raw);
    EXPECT_EQ(request.attempt, 3U);
    EXPECT_EQ(request.deadline, Duration(std::chrono::milliseconds(1500)));
    EXPECT_FALSE(request.idempotent);
    EXPECT_TRUE(request.stream);
    EXPECT_EQ(request.priority, node::Priority::Interactive);
}

TEST(RequestParsing, EachInvalidHeaderIsRefused)
{
    const std::vector<std::pair<std::string RawRequest::*, std::string>> wrong { { &RawRequest::requestId, "" },
        { &RawRequest::requestId, std::string(65, 'x') }, { &RawRequest::requestId, "a/b" },
        { &RawRequest::account, "" }, { &RawRequest::attempt, "0" }, { &RawRequest::attempt, "1x" },
        { &RawRequest::deadline, "-5" }, { &RawRequest::deadline, "99999999999999999999" },
        { &RawRequest::idempotent, "maybe" }, { &RawRequest::stream, "1" }, { &RawRequest::priority, "urgent" },
        { &RawRequest::body, "" }, { &RawRequest::method, "DELETE" } };
    for (const auto& [field, value] : wrong) {
        auto raw = rawRequest();
        raw.*field = value;
        EXPECT_EQ(refused(raw).status, 400) << value;
        EXPECT_EQ(refused(raw).reason, "bad_request") << value;
    }
    for (const std::string authorization : { "", "Bearer ", "Basic abc" }) {
        auto raw = rawRequest();
        raw.authorization = authorization;
        EXPECT_EQ(refused(raw).reason, "bad_key");
    }
}

TEST(RequestParsing, PlainServiceBodyMayContainAnyFields)
{
    auto raw = rawRequest();
    raw.body = R"({"prompt":{"not":"text"},"max_tokens":-3,"order":17})";
    const auto request = accepted(raw);
    EXPECT_EQ(request.promptTokens, Tokens(0));
    EXPECT_EQ(request.maxAnswerTokens, Tokens(0));
    EXPECT_EQ(request.body, raw.body);
}

TEST(Hashing, KnownValues)
{
    EXPECT_EQ(keyHash("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(toHex(RequestKey { 1, 0xAB }), "000000000000000100000000000000ab");
    EXPECT_EQ(prefixHash(std::string(256, 'a')), prefixHash(std::string(300, 'a')));
    // The zero byte between account and id makes the keys of these pairs differ.
    EXPECT_NE(requestKey(AccountId("ab"), CallerRequestId("c")), requestKey(AccountId("a"), CallerRequestId("bc")));
}

// Guards against attempts to connect to what is no host, or to the router itself (0.0.0.0).
TEST(Endpoint, DestinationsAreHostsWithAPort)
{
    EXPECT_EQ(parseDestination("127.0.1.1:7400"), (Endpoint { "127.0.1.1", 7400 }));
    EXPECT_TRUE(parseDestination("10.0.0.1:65535"));
    for (const char* wrong :
        { "127.0.1.1:0", "127.0.1.1:65536", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "", "host:80" }) {
        EXPECT_FALSE(parseDestination(wrong)) << wrong;
    }
}

TEST(Endpoint, ParsesOnlyNumericAddresses)
{
    EXPECT_EQ(parseEndpoint("127.0.1.1:7400"), (Endpoint { "127.0.1.1", 7400 }));
    for (const char* wrong : { "", "127.0.1.1", "localhost:80", "127.0.1.1:", "127.0.1.1:70000", "127.0.1.1:8x" }) {
        EXPECT_FALSE(parseEndpoint(wrong)) << wrong;
    }
}

TEST(ContentDigest, CoversEachPartAndPartBoundaries)
{
    const auto digest = contentDigest("POST", "desk", "/a/b", "body");
    ASSERT_TRUE(digest);
    EXPECT_EQ(digest, contentDigest("POST", "desk", "/a/b", "body"));
    EXPECT_NE(digest, contentDigest("GET", "desk", "/a/b", "body"));
    EXPECT_NE(digest, contentDigest("POST", "desk", "/a/b", "bodies"));
    EXPECT_NE(digest, contentDigest("POST", "desk", "/a/bb", "ody"));
    EXPECT_NE(digest, contentDigest("POST", "desk/", "a/b", "body"));
}

TEST(PlatformReports, ValidReportsAreParsedAndInvalidOnesRejected)
{
    const auto vms = internal::parseVmList(
        R"({"vms":[{"peer":"127.0.1.1:7400","domain":"a","region":"r","state":"leaving"},{"no":"peer"}]})");
    ASSERT_TRUE(vms);
    ASSERT_EQ(vms->vms.size(), 1U);
    EXPECT_TRUE(vms->vms.front().leaving);
    EXPECT_FALSE(internal::parseVmList("[]"));

    const BackendId backend("127.0.1.9:1");
    const auto load = internal::parseLoad(
        backend, R"({"running":2,"waiting":3,"step_ms":3.5,"models":["m"],"leaving":true,"generation":9})");
    EXPECT_TRUE(load.reachable);
    EXPECT_EQ(load.waiting, 3U);
    EXPECT_EQ(load.stepMilliseconds, 3.5);
    EXPECT_EQ(load.models, std::vector<std::string> { "m" });
    EXPECT_TRUE(load.leaving);
    EXPECT_FALSE(internal::parseLoad(backend, "nonsense").reachable);

    const auto page = internal::parseCacheEvents(
        R"({"next":8,"events":[{"seq":7,"kind":"evicted","prefix":"00000000000000ff"},{"seq":8,"kind":"odd"}]})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->next, 8U);
    ASSERT_EQ(page->events.size(), 1U);
    EXPECT_EQ(page->events.front().prefixHash, 0xFFU);
    EXPECT_EQ(page->events.front().kind, node::CacheEventKind::Evicted);
}

} // namespace swiftlift::transport
