#include "platform/ConfigCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace swiftlift::platform {
namespace {

    using nlohmann::json;

    json validConfig()
    {
        return json::parse(R"({"version":7,
            "routes":[
              {"name":"r-1","hostname":"ficu95.example","path_prefix":"/pufi791/","type":"streaming","timeout_ms":12000,
               "target_latency_ms":300,"priority":0,"backend":"huvo11a","max_attempts":2,"public":false,"sticky":true,
               "resumable":true,"gap_aim_ms":250},
              {"name":"r-2","hostname":"ficu95.example","path_prefix":"/lohu930/","type":"unsafe","timeout_ms":1200,
               "target_latency_ms":150,"priority":2,"max_attempts":1,"public":true,
               "traffic_split":[{"backend":"huvo11a","weight":90},{"backend":"wuno96b","weight":10}]}],
            "backends":[{"name":"huvo11a","engine":{"slots":32,"stride":7}},{"name":"wuno96b"}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"hule930","api_keys":["k1","k2"],"priority":1,"reserved":9582036}]})");
    }

    class ConfigCodecTest : public testing::Test {
    protected:
        [[nodiscard]] std::optional<fleet::FleetConfig> read(const json& document)
        {
            findings_.clear();
            return codec_.config(document.dump(), findings_);
        }

        ConfigCodec codec_;
        Findings findings_;
    };

    TEST_F(ConfigCodecTest, ReadsRoutesServicesAccountsAndLimits)
    {
        const auto config = read(validConfig());
        ASSERT_TRUE(config) << toText(findings_.front());
        EXPECT_EQ(config->version, 7U);
        const fleet::Route& streamRoute = config->routes.at(0);
        EXPECT_EQ(streamRoute.answer, fleet::AnswerKind::Events);
        EXPECT_TRUE(streamRoute.resumable && streamRoute.idempotent && streamRoute.sharesPrefixes && !streamRoute.open);
        EXPECT_EQ(streamRoute.pauseObjective, std::chrono::milliseconds(250));
        EXPECT_EQ(streamRoute.maxServers, 2U);
        const fleet::Route& splitRoute = config->routes.at(1);
        EXPECT_FALSE(splitRoute.idempotent);
        EXPECT_TRUE(splitRoute.open);
        ASSERT_EQ(splitRoute.targets.size(), 2U);
        EXPECT_EQ(splitRoute.targets[1].weight, 10U);
        EXPECT_EQ(config->services.at(0).engine->tokensPerEvent, 7U);
        EXPECT_FALSE(config->services.at(1).engine);
        EXPECT_EQ(config->accounts.at(0).budget, Tokens(9'582'036));
        EXPECT_EQ(config->limits.idleTime, std::chrono::seconds(15));
    }

    // Guards against a configuration that takes effect in part, or without one of its services, because a field that
    // could not be read was replaced by its default: a wrong type, a missing field, an unknown value, or invalid JSON.
    TEST_F(ConfigCodecTest, InvalidConfigurationIsRejectedWithThePathOfTheFault)
    {
        auto wrongType = validConfig();
        wrongType["routes"][0]["type"] = "sometimes";
        EXPECT_FALSE(read(wrongType));
        EXPECT_EQ(toText(findings_.front()), "config.routes[0].type: expected safe, unsafe or streaming");
        auto missing = validConfig();
        missing["routes"][1].erase("hostname");
        EXPECT_FALSE(read(missing));
        EXPECT_EQ(toText(findings_.front()), "config.routes[1].hostname: expected a text");
        auto negative = validConfig();
        negative["tenants"][0]["reserved"] = -1;
        EXPECT_FALSE(read(negative));
        auto notAList = validConfig();
        notAList["backends"] = 3;
        EXPECT_FALSE(read(notAList));
        EXPECT_FALSE(codec_.config("{\"version\":", findings_));
    }

    // Guards against casts of numbers that exceed 64 bits: an account with a huge total would get a negative budget,
    // and requests of a route with a huge time limit would time out at once.
    TEST_F(ConfigCodecTest, RejectsNumbersThatOverflow)
    {
        json document = validConfig();
        document["tenants"][0]["reserved"] = 1e19;
        document["routes"][0]["timeout_ms"] = 18446744073709551615U;
        EXPECT_FALSE(read(document));
        EXPECT_EQ(findings_.size(), 2U);
    }

    TEST_F(ConfigCodecTest, IgnoresUnknownFields)
    {
        auto extended = validConfig();
        extended["routes"][0]["colour"] = "blue";
        EXPECT_TRUE(read(extended));
    }

    TEST_F(ConfigCodecTest, ReadsBackendServers)
    {
        Findings findings;
        const auto server = codec_.server("i-7f3a91c2",
            R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"lodz-a","slots":32,"state":"draining"})",
            findings);
        ASSERT_TRUE(server);
        EXPECT_EQ(server->id, BackendId("i-7f3a91c2"));
        EXPECT_EQ(server->service, ServiceName("huvo11a"));
        EXPECT_EQ(server->domain, FailureDomain("lodz-a"));
        EXPECT_EQ(server->state, fleet::ServerState::Leaving);
        EXPECT_FALSE(codec_.server("i-1", R"({"backend":"huvo11a","state":"asleep"})", findings));
        EXPECT_FALSE(findings.empty());
    }

    // Guards against mixed streams: a version that can't be read must not count as one that others have, too.
    TEST_F(ConfigCodecTest, ReadsTheSoftwareVersionOfABackendServer)
    {
        Findings findings;
        const auto readWithField = [&](const std::string& field) {
            return codec_.server("i-1",
                R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready")" + field + "}",
                findings);
        };
        EXPECT_EQ(readWithField("")->version, SoftwareVersion(""));
        EXPECT_EQ(readWithField(R"(,"version":"v1.2")")->version, SoftwareVersion("v1.2"));
        EXPECT_TRUE(findings.empty());
        EXPECT_FALSE(readWithField(R"(,"version":12)"));
        EXPECT_EQ(findings.size(), 1U);
    }

    TEST_F(ConfigCodecTest, ReadsTheStartTimeOfABackendServer)
    {
        Findings findings;
        const auto readWithField = [&](const std::string& field) {
            return codec_.server("i-1",
                R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready")" + field + "}",
                findings);
        };
        EXPECT_EQ(readWithField("")->startedAt, 0U);
        EXPECT_EQ(readWithField(R"(,"born":1774825920123)")->startedAt, 1774825920123U);
        EXPECT_TRUE(findings.empty());
        for (const char* invalid : { R"(,"born":"1774825920123")", R"(,"born":1774825920.5)", R"(,"born":-1)",
                 R"(,"born":[])", R"(,"born":1e300)" }) {
            EXPECT_FALSE(readWithField(invalid)) << invalid;
        }
        EXPECT_EQ(findings.size(), 5U);
    }

    // Guards against a crash of the router, or requests to a server that does not exist, after another writer has
    // stored an entry with missing fields, fields of a wrong type, unknown values, or bytes that are not text.
    TEST_F(ConfigCodecTest, RejectsInvalidServerEntries)
    {
        const json valid = json::parse(
            R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":1774825920123})");
        Findings findings;
        ASSERT_TRUE(codec_.server("i-1", valid.dump(), findings));
        for (const char* field : { "backend", "address", "zone", "slots", "state" }) {
            json missing = valid;
            missing.erase(field);
            EXPECT_FALSE(codec_.server("i-1", missing.dump(), findings)) << field;
            json wrongType = valid;
            wrongType[field] = json::array({ 1 });
            EXPECT_FALSE(codec_.server("i-1", wrongType.dump(), findings)) << field;
        }
        for (const std::string& bytes : { std::string("\xff\xfe\0{", 4), std::string("[]"), std::string("{") }) {
            EXPECT_FALSE(codec_.server("i-1", bytes, findings));
        }
        EXPECT_FALSE(toText(findings).empty());
    }

    json validServer()
    {
        return json::parse(
            R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":1774825920123})");
    }

    // Guards against routers that refuse requests for lack of time while they parse entries that are nothing but
    // nesting.
    TEST_F(ConfigCodecTest, RejectsDeeplyNestedEntries)
    {
        constexpr std::size_t deep = 100;
        json entry = validServer();
        const auto readWith = [&](const std::string& value) {
            std::string text = entry.dump();
            return codec_.server("i-1", text.insert(text.size() - 1, ",\"unknown\":" + value), findings_).has_value();
        };
        EXPECT_FALSE(readWith(std::string(deep, '[') + std::string(deep, ']')));
        EXPECT_TRUE(readWith('"' + std::string(deep, '[') + "\\\"" + std::string(deep, '{') + '"'));
        EXPECT_TRUE(readWith("[[[{}]]]"));
    }

    // Guards against requests to a server that can't be connected to: its entry names no host or no port.
    TEST_F(ConfigCodecTest, RejectsServersThatCannotBeConnectedTo)
    {
        for (const char* address :
            { "10.0.0.1:65536", "10.0.0.1:1e20", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", "10.0.0.1:", "", "host:80",
                "[::1]:80", "10.0.0.1:80 ", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80" }) {
            json entry = validServer();
            entry["address"] = address;
            Findings findings;
            EXPECT_FALSE(codec_.server("i-1", entry.dump(), findings)) << address;
            EXPECT_EQ(
                toText(findings), "servers/i-1.address: expected the IPv4 address of a host and a port from 1 to 65535")
                << address;
        }
        for (const char* address : { "10.0.0.1:1", "10.0.0.1:65535" }) {
            json entry = validServer();
            entry["address"] = address;
            EXPECT_TRUE(codec_.server("i-1", entry.dump(), findings_)) << address;
        }
    }

    // Guards against peers that can't decode a heartbeat, and engines that get further header fields, because of an id.
    TEST_F(ConfigCodecTest, RejectsServersWhoseIdIsNoVisibleText)
    {
        for (const std::string& id : { std::string("\xff\xfe"), std::string(), std::string("a b"),
                 std::string("a\r\nb"), std::string("\0", 1), std::string("\xc3\xa9") }) {
            Findings findings;
            EXPECT_FALSE(codec_.server(id, validServer().dump(), findings)) << id;
            EXPECT_EQ(findings.size(), 1U);
        }
        EXPECT_TRUE(codec_.server(std::string(255, 'k'), validServer().dump(), findings_));
        EXPECT_TRUE(codec_.server("a/b/../\"\\", validServer().dump(), findings_));
    }

    // Guards against a server with 1 slot, or with billions, whose entry states 2^32 + 1 or 10^12.
    TEST_F(ConfigCodecTest, RejectsServersWhoseSlotsAreNoNumberOfTheirType)
    {
        for (const char* slots : { "0", "-1", "4294967296", "4294967297", "1e12", "18446744073709551615", "1e300" }) {
            json entry = validServer();
            entry["slots"] = json::parse(slots);
            Findings findings;
            EXPECT_FALSE(codec_.server("i-1", entry.dump(), findings)) << slots;
            EXPECT_EQ(toText(findings), "servers/i-1.slots: expected a number from 1 to 4294967295") << slots;
        }
        for (const char* slots : { "1", "32.0", "4294967295" }) {
            json entry = validServer();
            entry["slots"] = json::parse(slots);
            EXPECT_TRUE(codec_.server("i-1", entry.dump(), findings_)) << slots;
        }
    }

    // Guards against configurations that come into force with another number than the operators wrote: all bits of a
    // number beyond 32 were dropped, so that a weight of 2^32 became 0.
    TEST_F(ConfigCodecTest, RejectsNumbersThatDoNotFitTheirType)
    {
        constexpr std::uint64_t tooLarge = 4294967297;
        const std::vector<std::string> pointers { "/routes/0/max_attempts", "/routes/0/priority",
            "/routes/1/traffic_split/0/weight", "/backends/0/engine/slots", "/backends/0/engine/stride",
            "/tenants/0/priority" };
        for (const std::string& pointer : pointers) {
            json document = validConfig();
            document[json::json_pointer(pointer)] = tooLarge;
            EXPECT_FALSE(read(document)) << pointer;
            ASSERT_EQ(findings_.size(), 1U) << pointer;
            EXPECT_EQ(findings_.front().message, "expected a number from 0 to 4294967295") << pointer;
        }
    }

    TEST_F(ConfigCodecTest, AcceptsNumbersAtTheirBounds)
    {
        json document = validConfig();
        document["routes"][1]["traffic_split"][0]["weight"] = 0;
        document["routes"][0]["priority"] = 9;
        document["routes"][1].erase("priority");
        document["backends"][0]["engine"].erase("stride");
        document["tenants"][0]["priority"] = 0;
        document["tenants"][0]["reserved"] = 0;
        const auto config = read(document);
        ASSERT_TRUE(config) << toText(findings_);
        EXPECT_EQ(config->routes[1].targets[0].weight, 0U);
        EXPECT_EQ(config->routes[0].urgency, 9U);
    }

    TEST_F(ConfigCodecTest, ReadsHowColdServersBearRequests)
    {
        auto document = validConfig();
        document["backends"][0]["warmup_s"] = 3.0;
        document["backends"][0]["warmup_per_s"] = 9.5;
        document["backends"][1]["warmup_s"] = 0.0;
        document["backends"][1]["warmup_per_s"] = 0.0;
        const auto config = read(document);
        ASSERT_TRUE(config);
        ASSERT_TRUE(config->services.at(0).warmup);
        EXPECT_EQ(config->services.at(0).warmup->duration, std::chrono::seconds(3));
        EXPECT_DOUBLE_EQ(config->services.at(0).warmup->requestsPerSecond, 9.5);
        EXPECT_FALSE(config->services.at(1).warmup);
        document["backends"][0]["warmup_per_s"] = "many";
        EXPECT_FALSE(read(document));
    }

    TEST_F(ConfigCodecTest, ReadsHowLongAServerStaysCold)
    {
        const auto server = codec_.server("i-1",
            R"({"backend":"huvo11a","address":"10.0.0.1:80","zone":"regina-a","slots":24,"state":"ready",
                "warmup_left_ms":2400,"sequence":4})",
            findings_);
        ASSERT_TRUE(server);
        EXPECT_EQ(server->warmupLeft, std::chrono::milliseconds(2400));
    }

    TEST_F(ConfigCodecTest, RecognisesEvacuationsByTheirKey)
    {
        EXPECT_EQ(codec_.evacuatedDomain("evacuate/regina-a"), FailureDomain("regina-a"));
        EXPECT_FALSE(codec_.evacuatedDomain("evacuate/"));
        EXPECT_FALSE(codec_.evacuatedDomain("config"));
        EXPECT_TRUE(codec_.isEvacuation("evacuate/regina-a", "{}", findings_));
        EXPECT_TRUE(codec_.isEvacuation("evacuate/regina-a", R"({"reason":"x"})", findings_));
        EXPECT_TRUE(findings_.empty());
        EXPECT_FALSE(codec_.isEvacuation("evacuate/regina-a", "{", findings_));
        EXPECT_EQ(toText(findings_.front()), "evacuate/regina-a: expected an object");
    }

} // namespace
} // namespace swiftlift::platform
