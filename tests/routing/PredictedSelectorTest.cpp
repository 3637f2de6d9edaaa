#include <map>

#include "routing/PrefixHolders.h"
#include "routing/TableFixture.h"
#include "swiftlift/routing/FleetLoad.h"

namespace swiftlift::routing::test {
namespace {

    constexpr std::uint64_t prefix = 5;
    constexpr std::uint32_t slots = 12;
    const Tokens capacity { 100'000 };

    class PredictedSelectorTest : public TableTest {
    protected:
        void SetUp() override
        {
            list(10);
            table_.setFleetLoad(&fleet_);
            see({});
        }

        void list(int engines, std::uint64_t instance = 1)
        {
            std::vector<BackendEntry> entries;
            for (int number = 1; number <= engines; ++number) {
                BackendEntry entry { engine(number), ownDomain, slots, instance };
                entry.memory = capacity;
                entries.push_back(entry);
            }
            table_.setBackends(drafts, entries, now_);
        }

        /** @brief Receives a digest with these loads; the engines that are left out are idle. */
        void see(const std::map<BackendId, ServerLoad>& loads, const std::map<BackendId, Duration>& paces = {})
        {
            std::vector<ServerLoadEntry> digest;
            for (const auto& [backend, load] : loads) {
                const auto pace = paces.find(backend);
                digest.push_back(
                    { serverKey(backend, 1), load, pace == paces.end() ? std::nullopt : std::optional(pace->second) });
            }
            fleet_.onDigest(digest, now_);
        }

        /** @return The same load at all ten engines. */
        [[nodiscard]] static std::map<BackendId, ServerLoad> everywhere(const ServerLoad& load)
        {
            std::map<BackendId, ServerLoad> loads;
            for (int number = 1; number <= 10; ++number) {
                loads[engine(number)] = load;
            }
            return loads;
        }

        [[nodiscard]] static SelectRequest longPrompt(std::uint64_t prefixHash = prefix)
        {
            SelectRequest request;
            request.service = drafts;
            request.prefixHash = prefixHash;
            request.sharedTokens = Tokens { 5'000 };
            request.promptTokens = Tokens { 1'000 };
            request.memory = Tokens { 7'000 };
            return request;
        }

        [[nodiscard]] Choice choose(const SelectRequest& request) { return choose(*selector_, request); }
        [[nodiscard]] Choice choose(Selector& selector, const SelectRequest& request)
        {
            return selector.choose(request, table_, now_).value();
        }

        /** @brief Sets a load at the home only. */
        void loadHome(const ServerLoad& load) { see({ { home(), load } }); }
        [[nodiscard]] BackendId home()
        {
            see({});
            return choose(longPrompt()).backend;
        }

        FleetLoad fleet_;
        std::unique_ptr<Selector> selector_ = selector("predicted");
    };

    // Guards against a router that is cut off from its peers and selects by figures that it doesn't have: all choices
    // must then be those of the selector that needs none.
    TEST_F(PredictedSelectorTest, SelectsAsRendezvousWithoutAView)
    {
        table_.setFleetLoad(nullptr);
        const auto rendezvous = selector("rendezvous");
        for (std::uint64_t request = 0; request < 100; ++request) {
            const SelectRequest wanted = longPrompt(request % 7);
            const Choice choice = choose(wanted);
            EXPECT_EQ(choice.backend, choose(*rendezvous, wanted).backend);
            EXPECT_FALSE(choice.expected);
            table_.onDispatched(choice.backend, AttemptId { ++lastAttempt_ }, { 0, Tokens { 1'000 }, {} }, now_);
        }
    }

    // Guards against first events that are seconds late at an engine that is full of other routers' requests, although
    // an idle engine would only have to prefill the shared part again.
    TEST_F(PredictedSelectorTest, LeavesTheHomeWhenOthersFillIt)
    {
        const BackendId before = home();
        loadHome({ slots + 6, Tokens {}, Tokens {} });
        const Choice choice = choose(longPrompt());
        EXPECT_NE(choice.backend, before);
        EXPECT_TRUE(choice.prefillsSharedPart);
        loadHome({ 4, Tokens { 60'000 }, Tokens {} });
        EXPECT_NE(choose(longPrompt()).backend, before) << "its prompts take longer to prefill than the shared part";
    }

    // Guards against prefixes that are prefilled by engine after engine because their home is a little busier.
    TEST_F(PredictedSelectorTest, StaysAtTheHomeWhenTheWaitIsShorterThanThePrefill)
    {
        const BackendId before = home();
        loadHome({ 4, Tokens { 2'000 }, Tokens {} });
        const Choice choice = choose(longPrompt());
        EXPECT_EQ(choice.backend, before);
        EXPECT_FALSE(choice.prefillsSharedPart);
    }

    // Guards against a fleet whose routers all choose the one engine that looks best in the same late view.
    TEST_F(PredictedSelectorTest, RoutersWithTheSameViewDoNotAllChooseTheIdleEngine)
    {
        auto loads = everywhere({ slots, Tokens {}, Tokens {} });
        loads.erase(engine(3));
        see(loads);
        int atIdle = 0;
        for (std::uint64_t router = 0; router < 90; ++router) {
            atIdle += choose(*selector("predicted", router), longPrompt(0)).backend == engine(3) ? 1 : 0;
        }
        EXPECT_GT(atIdle, 10);
        EXPECT_LT(atIdle, 50);
    }

    // Guards against engines that get the same load as others that are more than twice as fast.
    TEST_F(PredictedSelectorTest, WaitsAtAFastEngineRatherThanAtASlowOne)
    {
        const ServerLoad load { slots + 1, Tokens { 5'000 }, Tokens {} };
        list(3);
        see({ { engine(1), load }, { engine(2), load }, { engine(3), load } },
            { { engine(1), 50ms }, { engine(2), 20ms }, { engine(3), 50ms } });
        int atFast = 0;
        for (int request = 0; request < 100; ++request) {
            atFast += choose(longPrompt(0)).backend == engine(2) ? 1 : 0;
        }
        EXPECT_GT(atFast, 70);
    }

    // Guards against engines that crash because many routers send them more than their memory holds, each by its own
    // count, and against a refusal where the request could wait.
    TEST_F(PredictedSelectorTest, RequestThatFitsNowhereWaits)
    {
        see(everywhere({ 2, Tokens {}, capacity - Tokens { 6'000 } }));
        EXPECT_FALSE(selector_->choose(longPrompt(), table_, now_));
        EXPECT_EQ(selector_->noChoice(), NoChoice::MemoryFull);
        EXPECT_EQ(selector_->lastReason(), "0 full, 10 memory");
        SelectRequest smaller = longPrompt();
        smaller.memory = Tokens { 6'000 };
        EXPECT_TRUE(selector_->choose(smaller, table_, now_));
        SelectRequest tooLarge = longPrompt();
        tooLarge.memory = capacity + Tokens { 1 };
        EXPECT_FALSE(selector_->choose(tooLarge, table_, now_));
        EXPECT_EQ(selector_->noChoice(), NoChoice::NoBackend) << "it would wait in vain";
    }

    // Guards against requests that wait in the routers while engines have room, because each router counts the few
    // that it sent itself, and against engine queues that the routers' fair order doesn't reach.
    TEST_F(PredictedSelectorTest, EngineIsFullWhenMoreRequestsWaitThanItHasSlots)
    {
        see(everywhere({ 2 * slots, Tokens {}, Tokens {} }));
        EXPECT_TRUE(selector_->choose(longPrompt(), table_, now_));
        see(everywhere({ 2 * slots + 1, Tokens {}, Tokens {} }));
        EXPECT_FALSE(selector_->choose(longPrompt(), table_, now_));
        EXPECT_EQ(selector_->noChoice(), NoChoice::AllFull);
    }

    // Guards against prefixes that are cached at an idle engine and prefilled again at a third one while their home is
    // busy, and against trust in a cache that a restart has emptied.
    TEST_F(PredictedSelectorTest, PrefersAnEngineThatServedThePrefixUntilItRestarts)
    {
        const BackendId before = home();
        const int number = before == engine(8) ? 9 : 8;
        selector_->onPromptServed({ serverKey(engine(number), 1), prefix, Tokens { 7'000 } }, now_);
        loadHome({ slots + 6, Tokens {}, Tokens {} });
        const Choice choice = choose(longPrompt());
        EXPECT_EQ(choice.backend, engine(number));
        EXPECT_EQ(choice.expected->cached, Tokens { 5'000 });
        list(10, 2);
        for (int request = 0; request < 20; ++request) {
            EXPECT_EQ(choose(longPrompt()).expected->cachedAge, std::nullopt);
        }
    }

    // Guards against a router that relies on a prefix which the engine has evicted since.
    TEST(PrefixHoldersTest, TrustEndsWithTimeAndWithWhatWasSentSince)
    {
        internal::PrefixHolders holders;
        const Instant start { 100s };
        holders.onPromptServed({ ServerKey { 1 }, prefix, Tokens { 1'000 } }, start);
        const auto trust
            = [&](Duration age) { return holders.trust(holders.of(prefix)->front(), capacity, start + age); };
        EXPECT_EQ(trust(10s), 1);
        EXPECT_DOUBLE_EQ(trust(20s), 0.5);
        EXPECT_EQ(trust(30s), 0);
        holders.onPromptServed({ ServerKey { 1 }, 0, capacity }, start + 1s);
        EXPECT_EQ(trust(2s), 1);
        holders.onPromptServed({ ServerKey { 1 }, 0, Tokens { 1 } }, start + 1s);
        EXPECT_EQ(trust(2s), 0);
    }

    // Guards against memory that grows with each prefix ever seen.
    TEST(PrefixHoldersTest, IsBoundedAndForgets)
    {
        internal::PrefixHolders holders(100, 10);
        const Instant start { 100s };
        for (std::uint32_t number = 1; number <= 1'000; ++number) {
            holders.onPromptServed({ ServerKey { number }, number, Tokens { 1 } }, start);
        }
        EXPECT_EQ(holders.size(), 100U);
        holders.onPromptServed({ ServerKey { 1 }, 1'001, Tokens { 1 } }, start + 31s);
        EXPECT_EQ(holders.size(), 1U);
    }

} // namespace
} // namespace swiftlift::routing::test
