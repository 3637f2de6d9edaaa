#include "swiftlift/streams/Keepers.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::streams {
namespace {

    std::vector<KeeperCandidate> fleet(std::size_t routers, std::size_t domains)
    {
        std::vector<KeeperCandidate> candidates;
        for (std::size_t index = 0; index < routers; ++index) {
            candidates.push_back({ PeerAddress("10.0.0." + std::to_string(index) + ":7400"),
                FailureDomain("d" + std::to_string(index % domains)) });
        }
        return candidates;
    }

    // Guards against a domain that takes all that is known of a stream with it.
    TEST(Keepers, AreInDifferentDomains)
    {
        const auto routers = fleet(400, 6);
        std::map<PeerAddress, FailureDomain> domains;
        for (const KeeperCandidate& router : routers) {
            domains[router.address] = router.domain;
        }
        for (int number = 0; number < 200; ++number) {
            const auto keepers = keepersOf(StreamId(std::to_string(number)), routers, 2);
            ASSERT_EQ(keepers.size(), 2U);
            EXPECT_NE(domains[keepers[0]], domains[keepers[1]]);
        }
    }

    // Guards against routers that ask others than those that were told, as the list of routers changes.
    TEST(Keepers, StayAmongTheFirstFewWhenRoutersComeAndGo)
    {
        auto routers = fleet(60, 4);
        auto changed = routers;
        changed.erase(changed.begin() + 5);
        changed.push_back({ PeerAddress("10.0.1.1:7400"), FailureDomain("d1") });
        int found = 0;
        for (int number = 0; number < 1000; ++number) {
            const StreamId stream { std::to_string(number) };
            const auto asked = keepersOf(stream, changed, 4);
            const auto told = keepersOf(stream, routers, 2);
            found += std::ranges::any_of(told,
                         [&](const PeerAddress& keeper) { return std::ranges::find(asked, keeper) != asked.end(); })
                ? 1
                : 0;
        }
        EXPECT_GE(found, 995);
    }

    TEST(Keepers, SpreadOverTheFleet)
    {
        const auto routers = fleet(50, 5);
        std::set<PeerAddress> used;
        for (int number = 0; number < 2000; ++number) {
            for (const PeerAddress& keeper : keepersOf(StreamId(std::to_string(number)), routers, 2)) {
                used.insert(keeper);
            }
        }
        EXPECT_EQ(used.size(), 50U);
        EXPECT_EQ(keepersOf(StreamId("s"), fleet(1, 1), 4).size(), 1U);
        EXPECT_TRUE(keepersOf(StreamId("s"), {}, 4).empty());
    }

} // namespace
} // namespace swiftlift::streams
