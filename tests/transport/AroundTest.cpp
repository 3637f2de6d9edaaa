#include <gtest/gtest.h>

#include "swiftlift/transport/DecisionLoop.h"
#include "swiftlift/transport/HttpClient.h"
#include "swiftlift/transport/Metrics.h"
#include "swiftlift/transport/OperatorServer.h"
#include "swiftlift/transport/PlatformClient.h"
#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {

namespace {

    /** Reads a request and writes the response for its path; `load` is the response to `/load`. */
    void serveRequest(Connection& connection, const std::string& load)
    {
        const auto target = std::string(connection.readRequest().target());
        if (target == "/vms") {
            connection.write(jsonAnswer(200, R"({"vms":[{"peer":"127.0.1.1:7400","domain":"a","region":"r"}]})"));
        } else if (target == "/load") {
            connection.write(load);
        } else {
            connection.write(
                jsonAnswer(200, R"({"next":4,"events":[{"seq":3,"kind":"stored","prefix":"000000000000000a"}]})"));
        }
    }

    std::string httpGet(std::uint16_t port, const std::string& target)
    {
        HttpClient client({ "127.0.0.1", port });
        HttpRequest request;
        request.target = target;
        const auto answer = client.call(request, longWait);
        EXPECT_TRUE(answer) << client.lastReason();
        return answer ? std::to_string(answer->status) + " " + answer->body : std::string();
    }

} // namespace

TEST(PlatformClient, ReadsTheVmListAndEngineReports)
{
    DecisionInbox inbox(4096);
    ControlTraffic traffic;
    Listener list;
    Listener engine;
    PlatformSettings settings;
    settings.vmList = *parseEndpoint(list.address());
    settings.loadInterval = std::chrono::milliseconds(1);
    settings.limit = longWait;
    PlatformClient client(settings, inbox, traffic);
    client.start();
    auto vmListConnection = list.accept();
    serveRequest(vmListConnection, {});
    EXPECT_EQ(nextEvent<node::VmListRead>(inbox).vms.size(), 1U);

    ASSERT_TRUE(client.inbox().tryPush(node::WatchBackends { { BackendId(engine.address()) }, {} }));
    auto engineConnection = engine.accept();
    serveRequest(engineConnection, jsonAnswer(200, R"({"running":2})"));
    EXPECT_EQ(nextEvent<node::BackendLoad>(inbox).running, 2U);
    serveRequest(engineConnection, {});
    EXPECT_EQ(nextEvent<node::CacheEventsRead>(inbox).events.front().sequence, 3U);
    serveRequest(engineConnection, jsonAnswer(500, {}));
    EXPECT_FALSE(nextEvent<node::BackendLoad>(inbox).reachable);
    ASSERT_TRUE(client.inbox().tryPush(node::WatchBackends {}));
    EXPECT_TRUE(engineConnection.closes());
    EXPECT_GT(traffic.backends.sent, 0U);
}

TEST(PlatformClient, OrdersAreSentAndTheirAnswersReported)
{
    DecisionInbox inbox(4096);
    ControlTraffic traffic;
    Listener list;
    Listener engine;
    PlatformSettings settings;
    settings.vmList = *parseEndpoint(list.address());
    settings.limit = longWait;
    PlatformClient client(settings, inbox, traffic);
    client.start();
    node::SendOrder order;
    order.backend = BackendId(engine.address());
    order.fencing = 17;
    ASSERT_TRUE(client.inbox().tryPush(order));
    auto connection = engine.accept();
    const auto asked = connection.readRequest();
    EXPECT_EQ(asked["X-Fencing"], "17");
    connection.write(jsonAnswer(409, R"({"error":"stale","fencing":20})"));
    const auto answered = nextEvent<node::OrderAnswered>(inbox);
    EXPECT_FALSE(answered.accepted);
    EXPECT_EQ(answered.fencing, 20U);
}

// Guards against an engine that receives orders from two routers at a time. A router is paused between its decision and
// the send, its lease expires during the pause, and another router holds the lease when the order is sent.
TEST(PlatformClient, OrderIsNotSentAfterItsLeaseHasExpired)
{
    DecisionInbox inbox(4096);
    ControlTraffic traffic;
    Listener list;
    Listener engine;
    PlatformSettings settings;
    settings.vmList = *parseEndpoint(list.address());
    settings.limit = longWait;
    PlatformClient client(settings, inbox, traffic);
    client.start();
    node::SendOrder order;
    order.backend = BackendId(engine.address());
    order.notAfter = steadyInstant();
    ASSERT_TRUE(client.inbox().tryPush(order));
    auto connection = engine.accept();
    EXPECT_TRUE(connection.closes());
    EXPECT_FALSE(connection.hasReceived());
    EXPECT_FALSE(nextEvent<node::OrderAnswered>(inbox).accepted);
}

TEST(OperatorServer, PassesQueriesToTheCoreAndTimesOutWithoutAnAnswer)
{
    DecisionInbox inbox(4096);
    OperatorServer server(inbox, std::chrono::milliseconds(200));
    const std::uint16_t port = Listener().port();
    ASSERT_TRUE(server.start({ "127.0.0.1", port })) << server.lastReason();
    EXPECT_EQ(httpGet(port, "/budgets").substr(0, 3), "503");
    std::jthread core([&] {
        for (auto asked = nextEvent<node::OperatorAsked>(inbox); asked.topic != "explain";
             asked = nextEvent<node::OperatorAsked>(inbox)) { }
        server.answer({ 2, R"({"why":"because"})" });
    });
    EXPECT_EQ(httpGet(port, "/explain?request=r1"), R"(200 {"why":"because"})");
}

TEST(Metrics, CountersGaugesAndReadingsAreExposed)
{
    ControlTraffic traffic;
    traffic.log.sent = 123;
    Metrics metrics(traffic);
    metrics.addReading("things", "Things", [] { return 42.0; });
    ASSERT_TRUE(metrics.listen({ "127.0.0.1", 0 })) << metrics.lastReason();
    metrics.start();
    metrics.inbox().pushOrDrop(node::CountMetric { "requests_total", { { "outcome", "answered" } }, 2 });
    metrics.inbox().pushOrDrop(node::CountMetric { "requests_total", { { "outcome", "answered" } }, 1 });
    metrics.inbox().pushOrDrop(node::GaugeMetric { "swiftlift_free_tokens", {}, 9 });
    metrics.firstToken(std::chrono::milliseconds(3));
    std::string text;
    const auto until = std::chrono::steady_clock::now() + longWait;
    while (text.find("swiftlift_free_tokens 9") == std::string::npos && std::chrono::steady_clock::now() < until) {
        text = httpGet(metrics.port(), "/metrics");
    }
    for (const char* expected : { R"(swiftlift_requests_total{outcome="answered"} 3)", "swiftlift_things 42",
             R"(swiftlift_control_bytes_total{kind="log",direction="sent"} 123)",
             R"(swiftlift_first_token_seconds_bucket{le="0.005"} 1)", "process_cpu_seconds_total",
             "process_resident_memory_bytes" }) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected;
    }
}

} // namespace swiftlift::transport::test
