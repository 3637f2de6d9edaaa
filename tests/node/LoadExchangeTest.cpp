#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "node/LoadFleet.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** Twelve routers in three domains without traffic; routers 0, 1 and 2 and then 3, 4 and 5 are to be collectors. */
    LoadFleetSettings smallFleet()
    {
        LoadFleetSettings settings;
        settings.routers = 12;
        settings.domains = 3;
        settings.servers = 4;
        settings.requestsPerSecond = 0;
        return settings;
    }

    [[nodiscard]] std::vector<int> seenByAll(const LoadFleet& fleet, std::size_t server)
    {
        std::vector<int> seen;
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            seen.push_back(fleet.seen(router, server));
        }
        return seen;
    }

    [[nodiscard]] double percentile(std::vector<double> values, double part)
    {
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
        return values[index];
    }

    /** @return The collector that the router's last `load_view` line names, as the router's number. */
    [[nodiscard]] std::size_t collectorOf(LoadFleet& fleet, std::size_t router)
    {
        std::string named;
        for (const LogLine& line : fleet.router(router).lines) {
            if (line.kind == "load_view") {
                named = std::get<std::string>(line.fields[1].value);
            }
        }
        std::size_t collector = 0;
        while (collector < fleet.size() && toHex(fleet.router(collector).context->self().value()) != named) {
            ++collector;
        }
        return collector;
    }

    // Guards against routers that go on without a view of the others after their domain's collector has died.
    TEST(LoadExchangeTest, NextRouterCollectsWhenTheCollectorDies)
    {
        LoadFleet fleet(smallFleet());
        fleet.send(6, 1);
        fleet.send(7, 1);
        fleet.run(seconds(5));
        EXPECT_EQ(seenByAll(fleet, 1), std::vector<int>(12, 2));
        const std::size_t first = collectorOf(fleet, 6);
        const std::size_t second = first == 0 ? 3 : 0;
        ASSERT_TRUE(first == 0 || first == 3) << "one of the two wide links of the domain, not " << first;
        fleet.kill(first);
        fleet.run(milliseconds(2500));
        EXPECT_EQ(collectorOf(fleet, 6), second);
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            EXPECT_TRUE(router == first || fleet.seen(router, 1) == 2) << router;
        }
    }

    // Guards against views that lack a part of the domain while a router can't reach the collector that others use.
    TEST(LoadExchangeTest, TwoCollectorsOfADomainKnowEachOthersReports)
    {
        LoadFleet fleet(smallFleet());
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            fleet.send(router, 2);
        }
        fleet.run(seconds(5));
        const std::size_t collector = collectorOf(fleet, 6);
        fleet.connected = [collector](std::size_t from, std::size_t to) {
            return !(from == 6 && to == collector) && !(from == collector && to == 6);
        };
        fleet.run(milliseconds(3500));
        EXPECT_NE(collectorOf(fleet, 6), collector);
        EXPECT_EQ(collectorOf(fleet, 9), collector);
        EXPECT_EQ(seenByAll(fleet, 2), std::vector<int>(12, 12));
    }

    // Guards against a view that keeps the load of routers behind a partition, or doesn't regain it after that.
    TEST(LoadExchangeTest, PartitionedDomainIsForgottenAndFoundAgain)
    {
        LoadFleet fleet(smallFleet());
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            fleet.send(router, 0);
        }
        fleet.run(seconds(5));
        fleet.connected = [](std::size_t from, std::size_t to) { return (from % 3 == 0) == (to % 3 == 0); };
        fleet.run(seconds(3));
        EXPECT_EQ(fleet.seen(9, 0), 4);
        EXPECT_EQ(fleet.seen(10, 0), 8);
        fleet.connected = [](std::size_t, std::size_t) { return true; };
        fleet.run(milliseconds(3200));
        EXPECT_EQ(seenByAll(fleet, 0), std::vector<int>(12, 12));
    }

    // Guards against loads that are counted twice, or go back to older values, when messages are repeated up to 1 s
    // late.
    TEST(LoadExchangeTest, RepeatedAndReorderedMessagesChangeNothing)
    {
        LoadFleet fleet(smallFleet());
        fleet.duplicates = true;
        fleet.send(6, 3);
        fleet.run(seconds(5));
        fleet.send(7, 3);
        fleet.run(milliseconds(800));
        for (int check = 0; check < 40; ++check) {
            fleet.run(milliseconds(50));
            ASSERT_EQ(seenByAll(fleet, 3), std::vector<int>(12, 2)) << check;
        }
    }

    // Guards against requests of a dead process that stay in the view, and reports of its successor that are ignored.
    TEST(LoadExchangeTest, RestartedRouterCountsByItsNewReportsOnly)
    {
        LoadFleet fleet(smallFleet());
        fleet.send(8, 1);
        fleet.run(seconds(5));
        fleet.restart(8);
        fleet.send(8, 2);
        fleet.run(seconds(4));
        EXPECT_EQ(seenByAll(fleet, 1), std::vector<int>(12, 0));
        EXPECT_EQ(seenByAll(fleet, 2), std::vector<int>(12, 1));
    }

    // Guards against choices by a frozen view, and messages, in a fleet that has become too small for the exchange.
    TEST(LoadExchangeTest, SmallFleetHasNoViewAndSendsNothing)
    {
        LoadFleetSettings settings = smallFleet();
        settings.loads.minRouters = 11;
        LoadFleet fleet(settings);
        fleet.run(seconds(5));
        EXPECT_EQ(fleet.seen(11, 0), 0);
        fleet.connected = [](std::size_t from, std::size_t to) { return from % 3 == to % 3; };
        fleet.run(seconds(15));
        EXPECT_EQ(seenByAll(fleet, 0), std::vector<int>(12, -1));
        const double sent = fleet.router(11).sent.messages;
        fleet.run(seconds(2));
        EXPECT_EQ(fleet.router(11).sent.messages, sent);
    }

    /** Bytes per second: 2 % of a link of 10 Mbit/s, and 10 % of a link of 200 Mbit/s. */
    constexpr double mostOfSmallLink = 25'000;
    constexpr double mostOfWideLink = 2'500'000;

    /** Sizes of a replayed fleet, with a load like that of the day in docs/design/uneven-fleet.md. */
    LoadFleetSettings replayed(std::size_t routers, bool markers)
    {
        LoadFleetSettings settings;
        settings.routers = routers;
        settings.servers = std::max<std::size_t>(routers * 145 / 91, 1);
        settings.requestsPerSecond = 5.7 * static_cast<double>(routers);
        settings.markers = markers;
        return settings;
    }

    /** @return What each router sends or receives in a second, measured over `time`. */
    void printTraffic(LoadFleet& fleet, Duration time, LoadFleet::Traffic LoadFleet::Router::*traffic)
    {
        std::vector<double> bytes;
        std::vector<double> messages;
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            fleet.router(router).*traffic = {};
        }
        fleet.run(time);
        const double elapsed = std::chrono::duration<double>(time).count();
        for (std::size_t router = 0; router < fleet.size(); ++router) {
            bytes.push_back((fleet.router(router).*traffic).bytes / elapsed);
            messages.push_back((fleet.router(router).*traffic).messages / elapsed);
        }
        std::cout << fleet.size() << " routers, " << (traffic == &LoadFleet::Router::sent ? "sent" : "received")
                  << " by one in a second: bytes p50 " << percentile(bytes, 0.5) << " max " << percentile(bytes, 1)
                  << ", messages p50 " << percentile(messages, 0.5) << " max " << percentile(messages, 1) << '\n';
        EXPECT_LT(percentile(bytes, 0.5), mostOfSmallLink);
        EXPECT_LT(percentile(bytes, 1), mostOfWideLink);
    }

    // Guards against a view so late or wrong that it misleads the choice of a server.
    TEST(LoadReplayTest, ViewOfALargeFleetIsYoungAndNearTheTrueLoad)
    {
        LoadFleet fleet(replayed(91, true));
        fleet.run(seconds(10));
        std::vector<double> ages[2];
        std::vector<double> errors;
        std::vector<double> ownErrors;
        std::vector<double> loads;
        for (int sample = 0; sample < 37; ++sample) {
            fleet.run(milliseconds(270));
            for (std::size_t server = 0; server < 145; ++server) {
                const int load = fleet.trueLoad(server);
                loads.push_back(load);
                for (std::size_t router = 0; router < fleet.size(); router += 10) {
                    errors.push_back(std::abs(fleet.seen(router, server) - load));
                    ownErrors.push_back(std::abs(static_cast<int>(fleet.view(router, server).own.inProgress) - load));
                }
            }
            for (std::size_t router = 0; router < fleet.size(); router += 10) {
                for (std::size_t other = 0; other < fleet.size(); ++other) {
                    if (other != router) {
                        const bool sameDomain = fleet.domainOf(router) == fleet.domainOf(other);
                        const auto age = std::chrono::duration<double, std::milli>(fleet.ageOf(other, router));
                        ages[sameDomain ? 0 : 1].push_back(age.count());
                    }
                }
            }
        }
        std::cout << "age in ms, own domain p50 " << percentile(ages[0], 0.5) << " p99 " << percentile(ages[0], 0.99)
                  << ", others p50 " << percentile(ages[1], 0.5) << " p99 " << percentile(ages[1], 0.99) << '\n'
                  << "load p50 " << percentile(loads, 0.5) << " p99 " << percentile(loads, 0.99) << ", error p50 "
                  << percentile(errors, 0.5) << " p99 " << percentile(errors, 0.99) << ", own knowledge p50 "
                  << percentile(ownErrors, 0.5) << " p99 " << percentile(ownErrors, 0.99) << '\n';
        EXPECT_LE(percentile(ages[0], 0.99), 500);
        EXPECT_LE(percentile(ages[1], 0.99), 750);
        EXPECT_LE(percentile(errors, 0.99), 0.5 * percentile(loads, 0.5));
    }

    // Guards against a traffic that a link of 10 Mbit/s, or a collector's, can't carry.
    TEST(LoadReplayTest, TrafficOfAFleetIsBounded)
    {
        for (const std::size_t routers : { 6, 91, 400 }) {
            LoadFleet fleet(replayed(routers, false));
            fleet.run(seconds(6));
            printTraffic(fleet, seconds(2), &LoadFleet::Router::sent);
            printTraffic(fleet, seconds(2), &LoadFleet::Router::received);
        }
    }

} // namespace
} // namespace swiftlift::node::testing
