#include "swiftlift/fleet/RouteTable.h"

#include <map>

#include <gtest/gtest.h>

namespace swiftlift::fleet {
namespace {

    Route route(const std::string& host, const std::string& prefix, std::vector<Target> targets = {})
    {
        Route result;
        result.name = RouteName(prefix);
        result.host = host;
        result.pathPrefix = prefix;
        result.targets = std::move(targets);
        return result;
    }

    RouteTable tableOf(std::vector<Route> routes, std::vector<Account> accounts = {})
    {
        FleetConfig config;
        config.routes = std::move(routes);
        config.accounts = std::move(accounts);
        return RouteTable(std::move(config));
    }

    TEST(RouteTableTest, FindsTheLongestMatchingPrefixOfTheHost)
    {
        const RouteTable table
            = tableOf({ route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/") });
        EXPECT_EQ(table.find("a.example", "/x/y/z")->pathPrefix, "/x/y/");
        EXPECT_EQ(table.find("A.Example:8080", "/x/yy")->pathPrefix, "/x/");
        EXPECT_EQ(table.find("b.example", "/x/y/z")->pathPrefix, "/");
        EXPECT_EQ(table.find("a.example", "/x"), nullptr);
        EXPECT_EQ(table.find("c.example", "/x/"), nullptr);
    }

    TEST(RouteTableTest, FindsTheAccountOfAKey)
    {
        const RouteTable table
            = tableOf({}, { { AccountId("one"), { "k1", "k2" }, {}, {} }, { AccountId("two"), { "k3" }, {}, {} } });
        EXPECT_EQ(table.accountOf("k2")->id, AccountId("one"));
        EXPECT_EQ(table.accountOf("k3")->id, AccountId("two"));
        EXPECT_EQ(table.accountOf(""), nullptr);
        EXPECT_TRUE(table.requiresKeys());
        EXPECT_FALSE(tableOf({}).requiresKeys());
    }

    TEST(RouteTableTest, SplitsByWeightAndNeverSelectsWeightZero)
    {
        const Route split
            = route("a", "/", { { ServiceName("x"), 3 }, { ServiceName("y"), 1 }, { ServiceName("z"), 0 } });
        std::map<ServiceName, int> selections;
        for (std::uint64_t draw = 0; draw < 400; ++draw) {
            ++selections[RouteTable::target(split, draw)];
        }
        EXPECT_EQ(selections[ServiceName("x")], 300);
        EXPECT_EQ(selections[ServiceName("y")], 100);
        EXPECT_EQ(selections[ServiceName("z")], 0);
        EXPECT_EQ(RouteTable::target(route("a", "/"), 1), ServiceName());
    }

} // namespace
} // namespace swiftlift::fleet
