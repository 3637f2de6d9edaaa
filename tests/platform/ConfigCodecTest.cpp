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
        const fleet::Route& stream = config->routes.at(0);
        EXPECT_EQ(stream.answer, fleet::AnswerKind::Events);
        EXPECT_TRUE(stream.resumable && stream.idempotent && stream.sharesPrefixes && !stream.open);
        EXPECT_EQ(stream.pauseObjective, std::chrono::milliseconds(250));
        EXPECT_EQ(stream.maxServers, 2U);
        const fleet::Route& split = config->routes.at(1);
        EXPECT_FALSE(split.idempotent);
        EXPECT_TRUE(split.open);
        ASSERT_EQ(split.targets.size(), 2U);
        EXPECT_EQ(split.targets[1].weight, 10U);
        EXPECT_EQ(config->services.at(0).engine->tokensPerEvent, 7U);
        EXPECT_FALSE(config->services.at(1).engine);
        EXPECT_EQ(config->accounts.at(0).budget, Tokens(9'582'036));
        EXPECT_EQ(config->limits.idleTime, std::chrono::seconds(15));
    }

    // Symptom: one broken field takes a service away, or half a configuration comes into force.
    // Events: a record of the wrong type, a missing field, an unknown word, no JSON at all.
    // Cause: what could not be read was taken for its default.
    TEST_F(ConfigCodecTest, EachFaultIsFoundWithItsPlaceAndNothingIsTaken)
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
        auto list = validConfig();
        list["backends"] = 3;
        EXPECT_FALSE(read(list));
        EXPECT_FALSE(codec_.config("{\"version\":", findings_));
    }

    // Symptom: an account with a huge total has a negative budget, a route with a huge time limit ends at once.
    // Events: numbers beyond what 64 bits hold.
    // Cause: they were cast.
    TEST_F(ConfigCodecTest, NumbersThatWouldWrapAroundAreFaults)
    {
        json document = validConfig();
        document["tenants"][0]["reserved"] = 1e19;
        document["routes"][0]["timeout_ms"] = 18446744073709551615U;
        EXPECT_FALSE(read(document));
        EXPECT_EQ(findings_.size(), 2U);
    }

    TEST_F(ConfigCodecTest, FieldsThatAreNotKnownAreLeftOut)
    {
        auto later = validConfig();
        later["routes"][0]["colour"] = "blue";
        EXPECT_TRUE(read(later));
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

    TEST_F(ConfigCodecTest, ReadsWhenAServersLifeBegan)
    {
        Findings findings;
        const auto with = [&](const std::string& born) {
            return codec_.server("i-1",
                R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready")" + born + "}",
                findings);
        };
        EXPECT_EQ(with("")->startedAt, 0U);
        EXPECT_EQ(with(R"(,"born":1774825920123)")->startedAt, 1774825920123U);
        EXPECT_TRUE(findings.empty());
        for (const char* foreign : { R"(,"born":"1774825920123")", R"(,"born":1774825920.5)", R"(,"born":-1)",
                 R"(,"born":[])", R"(,"born":1e300)" }) {
            EXPECT_FALSE(with(foreign)) << foreign;
        }
        EXPECT_EQ(findings.size(), 5U);
    }

    // Symptom: the process ends, or a server that nobody runs gets requests.
    // Events: another writer's entry has fields missing, of another type, unknown words, or is no text at all.
    // Cause: it was taken for what it is not.
    TEST_F(ConfigCodecTest, AnEntryOfAnotherWriterNamesNoServer)
    {
        const json sound = json::parse(
            R"({"backend":"h","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","born":1774825920123})");
        Findings findings;
        ASSERT_TRUE(codec_.server("i-1", sound.dump(), findings));
        for (const char* field : { "backend", "address", "zone", "slots", "state" }) {
            json missing = sound;
            missing.erase(field);
            EXPECT_FALSE(codec_.server("i-1", missing.dump(), findings)) << field;
            json other = sound;
            other[field] = json::array({ 1 });
            EXPECT_FALSE(codec_.server("i-1", other.dump(), findings)) << field;
        }
        for (const std::string& bytes : { std::string("\xff\xfe\0{", 4), std::string("[]"), std::string("{") }) {
            EXPECT_FALSE(codec_.server("i-1", bytes, findings));
        }
        EXPECT_FALSE(toText(findings).empty());
    }

} // namespace
} // namespace swiftlift::platform
