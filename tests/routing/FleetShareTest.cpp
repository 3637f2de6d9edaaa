#include "swiftlift/routing/FleetShare.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "swiftlift/routing/BackendTable.h"
#include "swiftlift/routing/Selector.h"

namespace swiftlift::routing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr double perSecond = 9.5;
    /** Requests in one second at which a cold server crashes. */
    constexpr std::uint32_t bound = 19;

    std::vector<PeerAddress> addresses(std::size_t first, std::size_t count)
    {
        std::vector<PeerAddress> list;
        for (std::size_t index = first; index < first + count; ++index) {
            list.emplace_back("10.0.0." + std::to_string(index) + ":7400");
        }
        return list;
    }

    BackendId serverId(std::size_t index) { return BackendId { "s" + std::to_string(index) }; }

    /** @return Requests per second of all `routers` to the server; router i knows of `lists[i % lists.size()]`. */
    std::uint32_t sumOfShares(const BackendId& server, const std::vector<PeerAddress>& routers,
        const std::vector<std::vector<PeerAddress>>& lists)
    {
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < routers.size(); ++index) {
            sum += fleetShare({ perSecond }, server, routers[index], lists[index % lists.size()]).requests;
        }
        return sum;
    }

    TEST(FleetShare, RoutersWithTheSameListUseMostOfWhatAServerBears)
    {
        for (const std::size_t count : { 1, 2, 5, 59, 300 }) {
            const auto routers = addresses(0, count);
            for (std::size_t server = 0; server < 20; ++server) {
                const std::uint32_t sum = sumOfShares(serverId(server), routers, { routers });
                EXPECT_LE(sum, perSecond);
                EXPECT_GE(sum, count >= 4 ? 8 : 2 * count);
            }
        }
    }

    // Guards against a cold server that crashes while VMs are added, removed or replaced: routers have lists with and
    // without them, and each may take others for owners.
    TEST(FleetShare, RoutersWithTwoListsStayBelowTheBound)
    {
        const auto routers = addresses(0, 69);
        const std::vector<std::vector<std::vector<PeerAddress>>> pairs { { routers, addresses(0, 59) },
            { addresses(10, 59), addresses(0, 59) }, { addresses(0, 35), addresses(35, 34) },
            { addresses(0, 400), routers } };
        for (const auto& lists : pairs) {
            for (std::size_t server = 0; server < 50; ++server) {
                EXPECT_LE(sumOfShares(serverId(server), routers, lists), bound);
            }
        }
    }

    TEST(FleetShare, UnregisteredRouterOwnsNothing)
    {
        const auto routers = addresses(0, 3);
        EXPECT_EQ(fleetShare({ perSecond }, serverId(1), PeerAddress { "10.0.0.9:1" }, routers).requests, 0U);
        EXPECT_EQ(fleetShare({ perSecond }, serverId(1), routers[0], {}).requests, 0U);
    }

    TEST(FleetShare, LessThanOneRequestASecondHasALongerWindow)
    {
        const auto routers = addresses(0, 1);
        const FleetShare share = fleetShare({ 0.5 }, serverId(1), routers[0], routers);
        EXPECT_EQ(share.requests, 1U);
        EXPECT_EQ(share.window, seconds(2));
    }

    TEST(FleetShare, EqualPartsOfAnAmountGoToRegisteredRoutersOnly)
    {
        EXPECT_DOUBLE_EQ(equalShare(40, { true, 20 }), 2);
        EXPECT_DOUBLE_EQ(equalShare(40, { false, 20 }), 0);
        EXPECT_DOUBLE_EQ(equalShare(40, { true, 0 }), 40);
    }

    /** Load of a fleet whose routers each choose by their own table, as in a day on which a domain returns cold. */
    class ColdDomainLoad {
    public:
        ColdDomainLoad(std::size_t routers, bool limited)
            : routers_(addresses(0, routers))
        {
            for (std::size_t index = 0; index < routers; ++index) {
                tables_.emplace_back();
                SelectorSettings settings;
                settings.domain = FailureDomain { "d" + std::to_string(index % domains) };
                settings.seed = index + 1;
                selectors_.push_back(makeSelector("rendezvous", settings));
                tables_.back().setRouters(routers_[index], routers_, start);
                tables_.back().setBackends(ServiceName { "model" }, entries(limited), start);
            }
        }

        /** Sends requests of 200 prefixes. @return Most requests that one cold server got in one second. */
        std::uint32_t run(double requestsPerSecond, Duration duration)
        {
            std::mt19937_64 random(7);
            std::map<BackendId, std::deque<Instant>> arrivals;
            std::uint32_t most = 0;
            const auto gap = std::chrono::duration_cast<Duration>(seconds(1)) / static_cast<int>(requestsPerSecond);
            for (Instant now = start; now < start + duration; now += gap) {
                const std::size_t router = random() % routers_.size();
                SelectRequest request;
                request.service = ServiceName { "model" };
                request.prefixHash = 1 + random() % 200;
                request.sharedTokens = Tokens { 5'000 };
                request.promptTokens = Tokens { 500 };
                const auto choice = selectors_[router]->choose(request, tables_[router], now);
                if (!choice) {
                    ++refused;
                    continue;
                }
                tables_[router].onDispatched(choice->backend, AttemptId { ++attempts }, {}, now);
                if (!isCold(choice->backend)) {
                    continue;
                }
                auto& times = arrivals[choice->backend];
                times.push_back(now);
                while (now - times.front() >= seconds(1)) {
                    times.pop_front();
                }
                most = std::max(most, static_cast<std::uint32_t>(times.size()));
            }
            return most;
        }

        std::uint64_t attempts = 0;
        std::uint64_t refused = 0;

    private:
        static constexpr std::size_t domains = 4;
        static constexpr std::size_t servers = 140;
        static constexpr Instant start { seconds(100) };

        [[nodiscard]] static bool isCold(const BackendId& server)
        {
            return std::stoul(server.value().substr(1)) % domains == 0;
        }

        [[nodiscard]] static std::vector<BackendEntry> entries(bool limited)
        {
            std::vector<BackendEntry> list;
            for (std::size_t index = 0; index < servers; ++index) {
                BackendEntry entry { serverId(index), FailureDomain { "d" + std::to_string(index % domains) }, 24 };
                if (limited && isCold(entry.backend)) {
                    entry.cold = ColdPeriod { start + seconds(60), perSecond };
                }
                list.push_back(entry);
            }
            return list;
        }

        std::vector<PeerAddress> routers_;
        std::vector<BackendTable> tables_;
        std::vector<std::unique_ptr<Selector>> selectors_;
    };

    // Guards against a domain whose servers crash as they return cold: 35 of 140 servers are cold, and the prefixes
    // whose homes they are come at 1.7 times the usual rate of 594 requests a second.
    TEST(FleetShare, ColdDomainUnderABurstStaysBelowTheBound)
    {
        ColdDomainLoad limited(59, true);
        EXPECT_LE(limited.run(1010, seconds(3)), bound);
        EXPECT_EQ(limited.refused, 0U) << "warm servers take what cold ones can't bear";
        ColdDomainLoad unlimited(59, false);
        EXPECT_GT(unlimited.run(1010, seconds(3)), bound) << "the load is large enough to show the limit";
    }

} // namespace
} // namespace swiftlift::routing
