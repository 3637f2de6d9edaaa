#include "swiftlift/settings/RouterSettings.h"

#include <gmock/gmock.h>

#include "settings/Samples.h"
#include "swiftlift/settings/CtlSettings.h"

namespace swiftlift::settings {

namespace {

    using test::replaced;
    using test::texts;
    using testing::ElementsAre;
    using testing::StartsWith;

    std::vector<std::string> findingsOf(std::string_view text)
    {
        Findings findings;
        const auto settings = parseRouterSettings(text, "router.yaml", findings);
        EXPECT_EQ(settings.has_value(), findings.empty());
        return texts(findings);
    }

    std::vector<std::string> ctlFindingsOf(std::string_view text)
    {
        Findings findings;
        const auto settings = parseCtlSettings(text, "ctl.yaml", findings);
        EXPECT_EQ(settings.has_value(), findings.empty());
        return texts(findings);
    }

} // namespace

TEST(RouterSettings, HasDefaults)
{
    Findings findings;
    const auto settings = parseRouterSettings(test::routerSettings, "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(settings->vm.peer, PeerAddress("127.0.1.1:7400"));
    EXPECT_EQ(settings->callersListen, Endpoint("127.0.1.1:8000"));
    EXPECT_EQ(settings->ledger.shards, 1U);
    EXPECT_EQ(settings->ledger.policy, LedgerPolicy::Grants);
    EXPECT_EQ(settings->routing, RoutingPolicy::Affinity);
    EXPECT_EQ(settings->stopLimit, std::chrono::seconds(60));
    EXPECT_EQ(settings->logging.file, "-");
    EXPECT_FALSE(settings->seed.has_value());
}

TEST(RouterSettings, ReadsEveryOptionalKey)
{
    const std::string optionalKeys
        = "peers:\n  seeds: [127.0.1.2:7400]\n  via: {\"127.0.2.1:7400\": \"127.0.8.1:7400\"}\n"
          "relay: {listen: \"127.0.1.1:7000\", port_offset: 1}\n"
          "backends: {via: {\"127.0.2.9:80\": \"127.0.8.9:80\"}}\n"
          "ledger: {shards: 4, policy: static_split, split_ways: 6}\nrouting: {policy: least_load}\n"
          "stop: {limit: 2m}\nlogging: {file: /tmp/router.log, level: debug}\nseed: 42\n";
    Findings findings;
    const auto settings
        = parseRouterSettings(std::string(test::routerSettings) + optionalKeys, "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_THAT(settings->peers.seeds, ElementsAre(PeerAddress("127.0.1.2:7400")));
    EXPECT_EQ(settings->peers.via.at(PeerAddress("127.0.2.1:7400")), Endpoint("127.0.8.1:7400"));
    EXPECT_EQ(settings->relayListen, Endpoint("127.0.1.1:7001"));
    EXPECT_EQ(settings->backends.via.at(BackendAddress("127.0.2.9:80")), Endpoint("127.0.8.9:80"));
    EXPECT_EQ(settings->ledger.shards, 4U);
    EXPECT_EQ(toText(settings->ledger.policy), "static_split");
    EXPECT_EQ(settings->ledger.splitWays, 6U);
    EXPECT_EQ(toText(settings->routing), "least_load");
    EXPECT_EQ(settings->stopLimit, std::chrono::minutes(2));
    EXPECT_EQ(toText(settings->logging.level), "debug");
    EXPECT_EQ(settings->seed, 42U);
}

// Guards against a router that takes its share of CPU time for unknown although the platform states it.
TEST(RouterSettings, ReadsTheShareOfCpuTime)
{
    Findings findings;
    const std::string text = replaced(test::routerSettings, "vm:\n", "vm:\n  cores: 0.09\n");
    const auto settings = parseRouterSettings(text, "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(settings->vm.cores, 0.09);
}

TEST(RouterSettings, ReportsEveryErrorWithItsPosition)
{
    const auto text = replaced(test::routerSettings, "8002}", "8001}")
        + "peers:\n  seeds: [127.0.1.2:7400, 127.0.1.2:7400]\n"
        + "  via: {\"127.0.2.1:7400\": away}\nledger: {split_ways: 6}\nstop: {limit: 60}\nseed: -1\n";
    EXPECT_THAT(findingsOf(replaced(text, "  region: sask-south\n", "")),
        ElementsAre(StartsWith("2:3: vm: missing key \"region\""),
            StartsWith("6:10: metrics: the address 127.0.1.1:8001 is taken"),
            StartsWith("10:27: peers.seeds: \"127.0.1.2:7400\" stands here twice"),
            StartsWith("11:27: peers.via.127.0.2.1:7400: expected an address"),
            StartsWith("12:22: ledger.split_ways: has a meaning only with policy static_split"),
            StartsWith("13:15: stop.limit: expected a duration"), StartsWith("14:7: seed: expected a whole number")));
    EXPECT_THAT(findingsOf("vm: here"), testing::Contains(StartsWith("1:5: vm: expected a map, found \"here\"")));
}

// Guards against a router that ends at its start because it is given no seed: the list is written without elements.
TEST(RouterSettings, ListsAndMapsWithoutElementsAreEmpty)
{
    const std::string text { test::routerSettings };
    Findings findings;
    const auto settings
        = parseRouterSettings(text + "peers:\n  seeds:\n  via:\nbackends:\n  via:\n", "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_TRUE(settings->peers.seeds.empty());
    EXPECT_TRUE(settings->peers.via.empty());
}

// Guards against a half-written line that is taken for a setting which was left out.
TEST(RouterSettings, ReportsOtherKeysWithoutAValue)
{
    const std::string text { test::routerSettings };
    EXPECT_THAT(findingsOf(text + "retries:\n  window:\nstop:\n"),
        ElementsAre(StartsWith("11:3: retries.window: has no value"), StartsWith("12:1: stop: has no value")));
    EXPECT_THAT(findingsOf(replaced(text, "[\"127.0.9.1:9000\"]", "")),
        ElementsAre(StartsWith("8:7: log.endpoints: has no value")));
    EXPECT_THAT(
        findingsOf(text + "retries: {window: s}\n"), ElementsAre(StartsWith("10:19: retries.window: has no value")));
}

// Guards against a router that ends at its start because a time has a fraction.
TEST(RouterSettings, ReadsFractionsOfTimeUnits)
{
    Findings findings;
    const auto settings = parseRouterSettings(std::string(test::routerSettings)
            + "stop: {limit: 8.0s}\nledger: {retention: 1e3s}\nretries: {window: 0.5s}\nloads: {period: 62.5ms}\n",
        "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(settings->stopLimit, std::chrono::seconds(8));
    EXPECT_EQ(settings->ledger.retention, std::chrono::seconds(1000));
    EXPECT_EQ(settings->retries.window, std::chrono::milliseconds(500));
    EXPECT_EQ(settings->loads.period, std::chrono::microseconds(62'500));
}

// Guards against odd numbers that come into force: a retry bound that isn't a number is never reached.
TEST(RouterSettings, RefusesOddNumbers)
{
    const std::string text { test::routerSettings };
    for (const std::string time :
        { "8.s", ".5s", "-1s", "+1s", "infs", "nans", "8 s", "8.0", "1e30s", "0x8s", "8..0s" }) {
        EXPECT_THAT(findingsOf(text + "stop: {limit: " + time + "}\n"),
            ElementsAre(StartsWith("10:15: stop.limit: expected a duration")))
            << time;
    }
    EXPECT_THAT(findingsOf(text + "stop: {limit: 0.01s}\n"),
        ElementsAre(StartsWith("10:15: stop.limit: 0.01s is not within 100ms to 1h")));
    for (const std::string ratio : { "nan", "-nan", "inf", "-0.1" }) {
        EXPECT_THAT(
            findingsOf(text + "retries: {ratio: " + ratio + "}\n"), ElementsAre(StartsWith("10:18: retries.ratio: ")))
            << ratio;
    }
}

// Guards against an operator's misspelled key that is tolerated as one of the platform.
TEST(RouterSettings, OnlyKeysThatARouterCanDoWithoutAreProvided)
{
    EXPECT_THAT(findingsOf("provided: [vm.peer, stop.limits, stop.limit]\n" + std::string(test::routerSettings)),
        ElementsAre(StartsWith("1:12: provided: expected one of vm.region, "), StartsWith("1:21: provided: expected")));
}

// Guards against a router that sends reports all the time, or whose view expires between two digests.
TEST(RouterSettings, ChecksTheExchangeOfLoads)
{
    const std::string text { test::routerSettings };
    Findings findings;
    EXPECT_EQ(parseRouterSettings(text, "router.yaml", findings)->loads.period, Duration::zero());
    const auto settings
        = parseRouterSettings(text + "loads: {period: 200ms, lifetime: 2s, min_routers: 6}\n", "router.yaml", findings);
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->loads.period, std::chrono::milliseconds(200));
    EXPECT_EQ(settings->loads.lifetime, std::chrono::seconds(2));
    EXPECT_EQ(settings->loads.minRouters, 6U);
    EXPECT_THAT(findingsOf(text + "loads: {period: 20ms, min_routers: 0, every: 1s}\n"),
        ElementsAre(testing::HasSubstr("loads.period: expected 0s (off) or at least 50ms"),
            testing::HasSubstr("loads.min_routers: "), testing::HasSubstr("every")));
    EXPECT_THAT(findingsOf(text + "loads: {period: 600ms}\n"),
        ElementsAre(testing::HasSubstr("loads.lifetime: has to be at least twice the period")));
}

// Failure: a fleet runs with the default order of loans although its settings name another one.
TEST(RouterSettings, ReadsTheOrderOfLoans)
{
    const auto ledgerWith = [](std::string_view keys) {
        return std::string(test::routerSettings) + "ledger: {" + std::string(keys) + "}\n";
    };
    Findings findings;
    EXPECT_EQ(parseRouterSettings(test::routerSettings, "router.yaml", findings)->ledger.loans, LoanOrder::Nearest);
    const auto settings = parseRouterSettings(ledgerWith("loans: demand"), "router.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(settings->ledger.loans, LoanOrder::Demand);
    EXPECT_EQ(toText(settings->ledger.loans), "demand");
    EXPECT_THAT(findingsOf(ledgerWith("loans: farthest")),
        ElementsAre(testing::AllOf(testing::HasSubstr("ledger.loans"), testing::HasSubstr("nearest"))));
    EXPECT_THAT(findingsOf(ledgerWith("policy: static_split, loans: demand")),
        ElementsAre(testing::HasSubstr("ledger.loans: has a meaning only with policy grants")));
}

TEST(RouterSettings, ReportsAFileThatCannotBeRead)
{
    Findings findings;
    EXPECT_FALSE(readRouterSettings("/nowhere/router.yaml", findings).has_value());
    EXPECT_THAT(texts(findings), ElementsAre("0:0: the file cannot be opened"));
    EXPECT_FALSE(readCtlSettings("/", findings).has_value());
    EXPECT_THAT(texts(findings), ElementsAre("0:0: the file cannot be opened", "0:0: the file cannot be read"));
}

TEST(CtlSettings, ReadsSettingsAndReportsErrors)
{
    Findings findings;
    const auto settings = parseCtlSettings("author: mina\nlog: {endpoints: [127.0.9.1:9000], timeout: 500ms}\n"
                                           "ledger: {shards: 2}\nrouters: {operators: [127.0.1.1:8001]}\n",
        "ctl.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << testing::PrintToString(texts(findings));
    EXPECT_EQ(settings->author, "mina");
    EXPECT_EQ(settings->logTimeout, std::chrono::milliseconds(500));
    EXPECT_EQ(settings->ledgerShards, 2U);
    EXPECT_THAT(settings->routers, ElementsAre(Endpoint("127.0.1.1:8001")));
    EXPECT_THAT(ctlFindingsOf("log: {endpoints: [], timeout: 1m}\n"),
        ElementsAre(StartsWith("1:18: log.endpoints: the list is empty"),
            StartsWith("1:31: log.timeout: timeout has to be no longer than patience")));
}

} // namespace swiftlift::settings
