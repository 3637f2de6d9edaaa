#include <map>

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class RendezvousSelectorTest : public TableTest {
    protected:
        [[nodiscard]] static SelectRequest about(std::uint64_t prefix, Tokens shared = Tokens { 5'000 })
        {
            SelectRequest request;
            request.service = drafts;
            request.prefixHash = prefix;
            request.sharedTokens = shared;
            request.promptTokens = Tokens { 100 };
            return request;
        }

        [[nodiscard]] static std::unique_ptr<Selector> router(std::uint64_t seed, FailureDomain domain)
        {
            SelectorSettings settings;
            settings.domain = std::move(domain);
            settings.seed = seed;
            return makeSelector("rendezvous", settings);
        }

        [[nodiscard]] BackendId choose(Selector& selector, std::uint64_t prefix)
        {
            return selector.choose(about(prefix), table_, now_).value().backend;
        }
    };

    // Symptom: engines compute the same shared prompt again and again, though one of them has it cached.
    // Events: hundreds of prefixes, each asked for seldom by any one router.
    // Cause: each router went by what it had seen itself.
    TEST_F(RendezvousSelectorTest, AllRoutersSendOnePrefixToOneEngine)
    {
        add(10, 10);
        const auto left = router(1, home);
        const auto right = router(2, away);
        std::map<BackendId, int> used;
        for (std::uint64_t prefix = 1; prefix <= 400; ++prefix) {
            EXPECT_EQ(choose(*left, prefix), choose(*right, prefix));
            ++used[choose(*left, prefix)];
        }
        EXPECT_EQ(used.size(), 20U);
        for (const auto& [backend, count] : used) {
            EXPECT_LT(count, 60) << backend;
        }
    }

    TEST_F(RendezvousSelectorTest, LossOfAnEngineMovesOnlyItsPrefixes)
    {
        add(20);
        const auto selector = router(1, home);
        std::map<std::uint64_t, BackendId> before;
        for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
            before[prefix] = choose(*selector, prefix);
        }
        const BackendId lost = engine(7);
        table_.onLeaving(lost, now_);
        for (const auto& [prefix, backend] : before) {
            if (backend != lost) {
                EXPECT_EQ(choose(*selector, prefix), backend);
            }
        }
    }

    // Symptom: one engine is full and late while the others idle.
    // Events: a quarter of all requests are about one thing.
    // Cause: its prefix has one home, whatever waits there.
    TEST_F(RendezvousSelectorTest, PopularPrefixSpreadsOverItsNextEngines)
    {
        add(20);
        const auto selector = router(1, home);
        std::map<BackendId, int> used;
        for (int request = 0; request < 40; ++request) {
            const BackendId backend = choose(*selector, 99);
            ++used[backend];
            table_.onDispatched(backend, AttemptId { ++lastAttempt_ }, { 0, Tokens { 100 }, {} }, now_);
        }
        for (const auto& [backend, count] : used) {
            EXPECT_LE(count, 6) << backend;
        }
    }

    // Symptom: three quarters of all small requests cross to another failure domain, whose bytes are dear, for a few
    // hundred cached tokens.
    // Events: requests share 200 to 600 tokens each; their home is in another domain.
    // Cause: a prefix had one home in the whole fleet, however short it was.
    // Symptom: in a flood first events come a quarter of a second late at homes of prefixes, while other engines are
    // quick. Events: prompts of ten thousand tokens come to a prefix's home, one right after the other. Cause: an
    // engine was judged by how many requests it has, not by what it still has to read.
    TEST_F(RendezvousSelectorTest, HomeThatHasMuchToReadIsPassedOverUntilItHasRead)
    {
        add(10);
        const auto selector = router(1, home);
        const BackendId first = choose(*selector, 5);
        const auto reads = [&](const BackendId& backend) {
            const AttemptId attempt { ++lastAttempt_ };
            table_.onDispatched(backend, attempt, { 0, Tokens { 10'000 }, {} }, now_);
            return attempt;
        };
        const AttemptId reading = reads(first);
        const Choice second = selector->choose(about(5), table_, now_).value();
        EXPECT_NE(second.backend, first);
        EXPECT_TRUE(second.prefillsSharedPart);
        EXPECT_EQ(choose(*selector, 5), second.backend) << "always the same second home, so that it has the prefix";
        const AttemptId there = reads(second.backend);
        EXPECT_EQ(choose(*selector, 5), first) << "where both have as much to read, the shared part decides";
        table_.onFirstToken(first, reading, now_);
        EXPECT_EQ(choose(*selector, 5), first);
        table_.onFinished(second.backend, there, { EndKind::Cancelled, {}, {} }, now_);
        EXPECT_EQ(choose(*selector, 5), first);
    }

    // Symptom: a prefix is read again by engine after engine, though its home is a moment away from free.
    // Events: the home has one short prompt to read.
    // Cause: any difference moved a request.
    TEST_F(RendezvousSelectorTest, AShortWaitAtHomeIsCheaperThanReadingAgain)
    {
        add(10);
        const auto selector = router(1, home);
        const BackendId first = choose(*selector, 5);
        table_.onDispatched(first, AttemptId { ++lastAttempt_ }, { 0, Tokens { 4'000 }, {} }, now_);
        EXPECT_EQ(choose(*selector, 5), first);
    }

    TEST_F(RendezvousSelectorTest, ShortPrefixHasAHomeInEachDomain)
    {
        add(10, 10);
        const auto left = router(1, home);
        const auto right = router(2, away);
        for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
            const auto request = about(prefix, Tokens { 500 });
            const BackendId first = left->choose(request, table_, now_).value().backend;
            EXPECT_EQ(left->choose(request, table_, now_).value().backend, first);
            EXPECT_NE(right->choose(request, table_, now_).value().backend, first);
        }
    }

    TEST_F(RendezvousSelectorTest, WithoutAPrefixTheLeastLoadedOfTheOwnDomainIsTaken)
    {
        add(2, 2);
        dispatch(1);
        const auto selector = router(1, home);
        for (int request = 0; request < 20; ++request) {
            EXPECT_EQ(choose(*selector, 0), engine(2));
        }
    }

} // namespace
} // namespace swiftlift::routing::test
