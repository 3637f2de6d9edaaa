#include "platform/HttpDialect.h"

#include <gtest/gtest.h>

namespace swiftlift::platform {
namespace {

    using transport::HeaderFields;
    using transport::RequestHead;
    using transport::valueOf;

    RequestHead validRequest()
    {
        return { "POST", "/lohu930/2f?x=1",
            { { "Host", "ficu95.example" }, { "Request-Id", "9c41d07be2a35f68" }, { "Model", "m" },
                { "Token-Usage", "1460,80" }, { "Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" },
                { "Deadline-Ms", "12000" }, { "Credential", "secret" } } };
    }

    TEST(HttpDialectTest, ReadsTheFieldsForRoutingAndBilling)
    {
        const auto parsed = HttpDialect().facts(validRequest());
        ASSERT_TRUE(std::holds_alternative<node::ProxyRequestInfo>(parsed));
        const auto& facts = std::get<node::ProxyRequestInfo>(parsed);
        EXPECT_EQ(facts.id, "9c41d07be2a35f68");
        EXPECT_EQ(facts.path, "/lohu930/2f");
        EXPECT_EQ(facts.key, "secret");
        EXPECT_EQ(facts.deadline, std::chrono::seconds(12));
        EXPECT_EQ(facts.promptTokens, Tokens(1460));
        EXPECT_EQ(facts.maxAnswerTokens, Tokens(80));
        ASSERT_EQ(facts.prefix.size(), 3U);
        EXPECT_EQ(facts.prefix[1].hash, 0x91bd3f06U);
        EXPECT_EQ(facts.prefix[1].tokens, Tokens(410));
    }

    // Guards against mixed streams: an attempt that goes on with a stream is taken for a new one.
    TEST(HttpDialectTest, ReadsWhichStreamARequestContinues)
    {
        RequestHead request = validRequest();
        const auto begun = HttpDialect().facts(request);
        EXPECT_FALSE(std::get<node::ProxyRequestInfo>(begun).continuesStream);
        request.fields.push_back({ "Last-Event-Id", "7" });
        request.fields.push_back({ "resumes", "1dd2424fa5745ad6" });
        const auto continued = HttpDialect().facts(request);
        EXPECT_TRUE(std::get<node::ProxyRequestInfo>(continued).continuesStream);
        EXPECT_EQ(std::get<node::ProxyRequestInfo>(continued).resumes, StreamId("1dd2424fa5745ad6"));
        request.fields.push_back({ "Resumes", "another" });
        const auto ambiguous = HttpDialect().facts(request);
        EXPECT_TRUE(std::holds_alternative<node::Reply>(ambiguous));
    }

    // Guards against requests that run under the id of another request or without a cost. This happens if the router
    // uses the first of two ids or hosts, or ignores invalid counts or a target that is not a path.
    TEST(HttpDialectTest, RefusesAmbiguousOrMalformedRequests)
    {
        const auto refused = [](auto modify) {
            RequestHead request = validRequest();
            modify(request);
            const auto parsed = HttpDialect().facts(request);
            const auto* reply = std::get_if<node::Reply>(&parsed);
            return reply != nullptr && reply->status == 400;
        };
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields.push_back({ "host", "other.example" }); }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields.push_back({ "Request-Id", "another" }); }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields.erase(head.fields.begin() + 1); }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields[3].value = "1460"; }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields[3].value = "-5,80"; }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields[4].value = "xyz:1"; }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.fields[5].value = "soon"; }));
        EXPECT_TRUE(refused([](RequestHead& head) { head.target = "http://ficu95.example/lohu930/"; }));
    }

    // Guards against requests that cost more than any budget and run without a reservation of tokens: the sum of counts
    // near the limit of 64 bits is negative, and an engine may read the second of two fields, but the router the first.
    TEST(HttpDialectTest, RefusesTokenCountsThatOverflowAndRepeatedFields)
    {
        const auto refused = [](const char* field, const char* value, bool asSecondField) {
            RequestHead request = validRequest();
            if (asSecondField) {
                request.fields.push_back({ field, value });
            } else {
                request.fields[3] = { field, value };
            }
            return std::holds_alternative<node::Reply>(HttpDialect().facts(request));
        };
        EXPECT_TRUE(refused("Token-Usage", "9223372036854775807,1", false));
        EXPECT_TRUE(refused("Token-Usage", "1,9223372036854775807", false));
        EXPECT_TRUE(refused("token-usage", "1,1", true));
        EXPECT_TRUE(refused("Credential", "another", true));
        EXPECT_TRUE(refused("Deadline-Ms", "1", true));
        EXPECT_FALSE(refused("Token-Usage", "1000000,1000000", false));
    }

    TEST(HttpDialectTest, LongDeadlineDoesNotOverflow)
    {
        RequestHead request = validRequest();
        request.fields[5].value = "9223372036854775807";
        const auto parsed = HttpDialect().facts(request);
        ASSERT_TRUE(std::holds_alternative<node::ProxyRequestInfo>(parsed));
        EXPECT_GT(*std::get<node::ProxyRequestInfo>(parsed).deadline, std::chrono::hours(1));
    }

    // Guards against forwarding all headers of a caller: an engine would receive the caller's key, or accept an account
    // or another reserved header that the caller has set.
    TEST(HttpDialectTest, ReplacesReservedHeaders)
    {
        RequestHead request = validRequest();
        request.fields.push_back({ "tenant", "somebody" });
        request.fields.push_back({ "Kv-From", "10.0.0.1:1/h" });
        node::ProxyDispatch dispatch;
        dispatch.backend = BackendId("i-7f3a91c2");
        dispatch.account = AccountId("hule930");
        dispatch.urgency = 1;
        dispatch.timeLeft = std::chrono::milliseconds(1234);
        const HeaderFields sent = HttpDialect().towardsBackend(request.fields, dispatch, std::nullopt);
        EXPECT_EQ(valueOf(sent, "Credential"), std::nullopt);
        EXPECT_EQ(valueOf(sent, "Kv-From"), std::nullopt);
        EXPECT_EQ(countOf(sent, "Tenant"), 1U);
        EXPECT_EQ(valueOf(sent, "Tenant"), "hule930");
        EXPECT_EQ(valueOf(sent, "Deadline-Ms"), "1234");
        EXPECT_EQ(valueOf(sent, "Expect-Instance"), "i-7f3a91c2");
        EXPECT_EQ(valueOf(sent, "Prefix-Hash"), "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        EXPECT_EQ(valueOf(sent, "Last-Event-Id"), std::nullopt);
        EXPECT_EQ(valueOf(HttpDialect().towardsBackend(request.fields, dispatch, 17), "Last-Event-Id"), "17");
    }

    TEST(HttpDialectTest, ReadsTheMarksOfAnAnswer)
    {
        const auto served = HttpDialect().marks({ 200, { { "request-id", "a" }, { "Server-Stamp", "x" } } });
        EXPECT_TRUE(served.genuine && !served.notStarted && !served.otherServer);
        EXPECT_EQ(served.requestId, "a");
        EXPECT_TRUE(HttpDialect().marks({ 503, { { "Not-Executed", "1" } } }).notStarted);
        EXPECT_TRUE(HttpDialect().marks({ 421, {} }).otherServer);
    }

    TEST(HttpDialectTest, ReadsWhatAServerStatesAboutItself)
    {
        const HeaderFields fields { { "Server-Limit", "1.9" }, { "Server-Leaving", "1" }, { "Retry-After", "3" } };
        const routing::Announcement announcement = HttpDialect().marks({ 503, fields }).announcement;
        EXPECT_EQ(announcement, (routing::Announcement { 1.9, true, std::chrono::seconds(3) }));
    }

    TEST(HttpDialectTest, WritesRetryAfterInFractionalSeconds)
    {
        node::Reply refusal;
        refusal.retryAfter = std::chrono::milliseconds(2050);
        const HeaderFields fields = HttpDialect().ofRefusal(refusal, "r1");
        EXPECT_EQ(valueOf(fields, "Retry-After"), "2.050");
        EXPECT_EQ(valueOf(fields, "Request-Id"), "r1");
    }

} // namespace
} // namespace swiftlift::platform
