#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

#include "swiftlift/routing/CollectorChoice.h"
#include "swiftlift/routing/LoadCollector.h"

namespace swiftlift::routing {

namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 100s };
    const ServerKey server { 7 };
    const LoadSender first { Incarnation { 1 }, PeerAddress { "a" }, FailureDomain { "d" } };
    const LoadSender second { Incarnation { 2 }, PeerAddress { "b" }, FailureDomain { "d" } };
    const LoadSender remote { Incarnation { 3 }, PeerAddress { "c" }, FailureDomain { "e" } };

    [[nodiscard]] std::vector<ServerLoadEntry> loads(std::uint32_t inProgress, std::optional<Duration> pace = {})
    {
        return { { server, { inProgress, Tokens { 100 * inProgress }, Tokens { 200 * inProgress } }, pace } };
    }

    const std::vector<CollectorCandidate> candidates { { Incarnation { 1 }, 10 }, { Incarnation { 2 }, 200 },
        { Incarnation { 3 }, 0 } };

} // namespace

// Guards against sums that leave out a router or a domain, or tell other domains their own requests.
TEST(LoadCollectorTest, SumsReportsAndDigests)
{
    LoadCollector collector;
    collector.onReport(first, 1, loads(1, 10ms), start);
    collector.onReport(second, 1, loads(2, 20ms), start);
    collector.onDigest(remote, 1, loads(4), start);
    EXPECT_EQ(collector.domainDigest(start), loads(3, 15ms));
    EXPECT_EQ(collector.fleetDigest(start), loads(7, 15ms));
}

// Guards against a repeated or late message that replaces a newer one, even after that one has expired.
TEST(LoadCollectorTest, LateAndRepeatedMessagesAreIgnored)
{
    LoadCollector collector;
    EXPECT_TRUE(collector.onReport(first, 5, loads(1), start));
    EXPECT_FALSE(collector.onReport(first, 4, loads(9), start));
    EXPECT_FALSE(collector.onReport(first, 5, loads(1), start + 900ms));
    EXPECT_TRUE(collector.domainDigest(start + 1001ms).empty()) << "a repetition must not extend the lifetime";
    collector.forgetOld(start + 5s);
    EXPECT_FALSE(collector.onReport(first, 3, loads(9), start + 5s));
    EXPECT_TRUE(collector.onReport(first, 6, loads(2), start + 5s));
}

// Guards against a digest that grows with the number of servers, or drops the busy ones.
TEST(LoadCollectorTest, DigestHasTheBusiestServersOnly)
{
    LoadCollector collector;
    std::vector<ServerLoadEntry> many;
    for (std::uint32_t key = 0; key < 2 * maxDigestServers; ++key) {
        many.push_back({ ServerKey { key }, { key % 2 == 0 ? 1U : 5U, {}, {} } });
    }
    collector.onReport(first, 1, many, start);
    const auto digest = collector.fleetDigest(start);
    ASSERT_EQ(digest.size(), maxDigestServers);
    EXPECT_TRUE(std::ranges::all_of(digest, [](const auto& entry) { return entry.load.inProgress == 5; }));
}

// Guards against routers of a domain that choose different collectors, or one with a narrow link.
TEST(CollectorChoiceTest, ChoosesTheWidestLinkAndBreaksTiesAlikeEverywhere)
{
    CollectorChoice choice(FailureDomain { "d" });
    EXPECT_EQ(choice.choose(candidates, start), Incarnation { 2 });
    EXPECT_EQ(choice.choose({}, start), std::nullopt);
    const std::vector<CollectorCandidate> equal { { Incarnation { 1 } }, { Incarnation { 2 } }, { Incarnation { 3 } } };
    const std::vector<CollectorCandidate> reversed { equal.rbegin(), equal.rend() };
    EXPECT_EQ(choice.choose(equal, start), CollectorChoice(FailureDomain { "d" }).choose(reversed, start));
}

// Guards against reports that go to a dead collector for as long as it is not suspected, and against its use at once
// again.
TEST(CollectorChoiceTest, SilentCollectorIsAvoidedForFiveSeconds)
{
    CollectorChoice choice(FailureDomain { "d" });
    Instant now = start;
    const auto reportUntil = [&](Instant end) {
        for (; now < end; now += 200ms) {
            choice.choose(candidates, now);
            choice.onReported(now);
            if (choice.collector() != Incarnation { 2 }) {
                choice.onDigest();
            }
        }
        return choice.collector();
    };
    EXPECT_EQ(reportUntil(start + 1100ms), Incarnation { 2 });
    EXPECT_EQ(reportUntil(start + 1300ms), Incarnation { 1 });
    EXPECT_EQ(reportUntil(start + 6s), Incarnation { 1 });
    EXPECT_EQ(reportUntil(start + 6500ms), Incarnation { 2 });
}

// Guards against a router that was paused itself and blames its collector for digests that it has not read yet.
TEST(CollectorChoiceTest, OwnPauseIsNotTheCollectorsSilence)
{
    CollectorChoice choice(FailureDomain { "d" });
    choice.choose(candidates, start);
    choice.onReported(start);
    choice.choose(candidates, start + 3s);
    choice.onReported(start + 3s);
    EXPECT_EQ(choice.choose(candidates, start + 3200ms), Incarnation { 2 });
}

} // namespace swiftlift::routing
