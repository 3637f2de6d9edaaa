#include <map>

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class RendezvousSelectorTest : public TableTest {
    protected:
        [[nodiscard]] static SelectRequest requestWithPrefix(std::uint64_t prefix, Tokens shared = Tokens { 5'000 })
        {
            SelectRequest request;
            request.service = drafts;
            request.prefixHash = prefix;
            request.sharedTokens = shared;
            request.promptTokens = Tokens { 100 };
            return request;
        }

        [[nodiscard]] static std::unique_ptr<Selector> makeRendezvousSelector(std::uint64_t seed, FailureDomain domain)
        {
            SelectorSettings settings;
            settings.domain = std::move(domain);
            settings.seed = seed;
            return makeSelector("rendezvous", settings);
        }

        [[nodiscard]] BackendId choose(Selector& selector, std::uint64_t prefix)
        {
            return selector.choose(requestWithPrefix(prefix), table_, now_).value().backend;
        }
    };

    // Guards against engines that prefill the same shared prompt again and again though one of them has it cached. With
    // hundreds of prefixes, each seldom requested from any one router, a router's own traffic doesn't show which engine
    // has a prefix cached.
    TEST_F(RendezvousSelectorTest, AllRoutersSendOnePrefixToOneEngine)
    {
        setEngines(10, 10);
        const auto ownSelector = makeRendezvousSelector(1, ownDomain);
        const auto otherSelector = makeRendezvousSelector(2, otherDomain);
        std::map<BackendId, int> used;
        for (std::uint64_t prefix = 1; prefix <= 400; ++prefix) {
            EXPECT_EQ(choose(*ownSelector, prefix), choose(*otherSelector, prefix));
            ++used[choose(*ownSelector, prefix)];
        }
        EXPECT_EQ(used.size(), 20U);
        for (const auto& [backend, count] : used) {
            EXPECT_LT(count, 60) << backend;
        }
    }

    TEST_F(RendezvousSelectorTest, LossOfAnEngineMovesOnlyItsPrefixes)
    {
        setEngines(20);
        const auto selector = makeRendezvousSelector(1, ownDomain);
        std::map<std::uint64_t, BackendId> before;
        for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
            before[prefix] = choose(*selector, prefix);
        }
        const BackendId leavingEngine = engine(7);
        table_.onLeaving(leavingEngine, now_);
        for (const auto& [prefix, backend] : before) {
            if (backend != leavingEngine) {
                EXPECT_EQ(choose(*selector, prefix), backend);
            }
        }
    }

    // Guards against one overloaded engine while the others are idle, when a quarter of all requests have the same
    // prefix and all of them go to its home.
    TEST_F(RendezvousSelectorTest, PopularPrefixSpreadsOverItsNextEngines)
    {
        setEngines(20);
        const auto selector = makeRendezvousSelector(1, ownDomain);
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

    // Guards against first tokens that come a quarter of a second late at homes of prefixes while other engines are
    // fast: prompts of ten thousand tokens reach a prefix's home one right after the other, and the number of requests
    // in flight does not show how much the engine still has to prefill.
    TEST_F(RendezvousSelectorTest, HomeWithLongPrefillQueueIsSkippedUntilThePrefillIsDone)
    {
        setEngines(10);
        const auto selector = makeRendezvousSelector(1, ownDomain);
        const BackendId first = choose(*selector, 5);
        const auto dispatchLongPrompt = [&](const BackendId& backend) {
            const AttemptId attempt { ++lastAttempt_ };
            table_.onDispatched(backend, attempt, { 0, Tokens { 10'000 }, {} }, now_);
            return attempt;
        };
        const AttemptId firstAttempt = dispatchLongPrompt(first);
        const Choice second = selector->choose(requestWithPrefix(5), table_, now_).value();
        EXPECT_NE(second.backend, first);
        EXPECT_TRUE(second.prefillsSharedPart);
        EXPECT_EQ(choose(*selector, 5), second.backend)
            << "the second home must always be the same engine, so that the prefix gets cached there";
        const AttemptId secondAttempt = dispatchLongPrompt(second.backend);
        EXPECT_EQ(choose(*selector, 5), first) << "both have as much to prefill, so the shared part decides";
        table_.onFirstToken(first, firstAttempt, now_);
        EXPECT_EQ(choose(*selector, 5), first);
        table_.onFinished(second.backend, secondAttempt, { EndKind::Cancelled, {}, {} }, now_);
        EXPECT_EQ(choose(*selector, 5), first);
    }

    // Guards against a prefix that is prefilled again by engine after engine because its home has one short prompt to
    // prefill: a small difference must not move a request.
    TEST_F(RendezvousSelectorTest, ShortWaitAtTheHomeCostsLessThanPrefillElsewhere)
    {
        setEngines(10);
        const auto selector = makeRendezvousSelector(1, ownDomain);
        const BackendId first = choose(*selector, 5);
        table_.onDispatched(first, AttemptId { ++lastAttempt_ }, { 0, Tokens { 4'000 }, {} }, now_);
        EXPECT_EQ(choose(*selector, 5), first);
    }

    // Guards against three quarters of all small requests crossing to another failure domain over an expensive link for
    // a few hundred cached tokens: requests share 200 to 600 tokens each, and their prefix must not have a single home
    // in the whole fleet.
    TEST_F(RendezvousSelectorTest, ShortPrefixHasAHomeInEachDomain)
    {
        setEngines(10, 10);
        const auto ownSelector = makeRendezvousSelector(1, ownDomain);
        const auto otherSelector = makeRendezvousSelector(2, otherDomain);
        for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
            const auto request = requestWithPrefix(prefix, Tokens { 500 });
            const BackendId first = ownSelector->choose(request, table_, now_).value().backend;
            EXPECT_EQ(ownSelector->choose(request, table_, now_).value().backend, first);
            EXPECT_NE(otherSelector->choose(request, table_, now_).value().backend, first);
        }
    }

    TEST_F(RendezvousSelectorTest, WithoutPrefixSelectsLeastInFlightOfOwnDomain)
    {
        setEngines(2, 2);
        dispatch(1);
        const auto selector = makeRendezvousSelector(1, ownDomain);
        for (int request = 0; request < 20; ++request) {
            EXPECT_EQ(choose(*selector, 0), engine(2));
        }
    }

} // namespace
} // namespace swiftlift::routing::test
