#include "swiftlift/routing/BackendTable.h"

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    using BackendTableTest = TableTest;

    TEST_F(BackendTableTest, CorrectsALateReportByWhatWasSentSince)
    {
        add(1);
        now_ += 1s;
        (void)dispatch(1);
        const AttemptId second = dispatch(1);
        EXPECT_EQ(view(1).running, 2U);
        now_ += 100ms;
        table_.onLoad(engine(1), report(5), now_);
        EXPECT_EQ(view(1).running, 7U) << "the report is from before the two were sent";
        now_ += 1s;
        table_.onLoad(engine(1), report(7), now_);
        EXPECT_EQ(view(1).running, 7U) << "now it shows them";
        finish(1, second, EndKind::Completed);
        EXPECT_EQ(view(1).running, 6U);
        now_ += 10s;
        EXPECT_EQ(view(1).running, 1U) << "the report is too old: only what is known for certain";
    }

    TEST_F(BackendTableTest, WaitingRequestsLengthenTheFirstToken)
    {
        add(2);
        table_.onLoad(engine(1), report(8, 6), now_);
        EXPECT_EQ(view(1).slots, 8U);
        EXPECT_EQ(view(1).waiting, 6U);
        EXPECT_GT(view(1).predictedFirstToken, view(2).predictedFirstToken + 100ms);
    }

    // Symptom: requests sent to a backend server after it said that it was leaving.
    // Events: its reply says so; then a load report arrives that was taken before.
    // Cause: the report, being the later message, was believed.
    TEST_F(BackendTableTest, ALateReportDoesNotBringALeavingBackendBack)
    {
        add(1);
        finish(1, dispatch(1), EndKind::Leaving);
        EXPECT_EQ(view(1).state, BackendState::Leaving);
        for (int i = 0; i < 20; ++i) {
            now_ += 1s;
            table_.onLoad(engine(1), report(0), now_);
            EXPECT_FALSE(view(1).usable);
        }
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        EXPECT_TRUE(view(1).usable) << "it has started anew";
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
    }

    // Symptom: a server that has just started gets nothing for half a minute.
    // Events: it crashes; requests fail until its breaker opens; it starts again under its id, which the list tells.
    // Cause: breaker, load and cache were those of its former life.
    TEST_F(BackendTableTest, ANewLifeUnderTheSameIdStartsAnew)
    {
        const ServiceName service = drafts;
        const auto tell = [&](std::uint64_t instance, std::uint32_t slots) {
            table_.setBackends(service, { { engine(1), home, slots, instance } }, now_);
        };
        tell(100, 4);
        const AttemptId lost = dispatch(1);
        for (int failure = 0; failure < 3; ++failure) {
            finish(1, dispatch(1), EndKind::Broken);
        }
        EXPECT_FALSE(view(1).usable);
        tell(100, 4);
        EXPECT_FALSE(view(1).usable) << "the same life, told again";
        tell(200, 6);
        EXPECT_TRUE(view(1).usable);
        EXPECT_EQ(view(1).inFlight, 0U) << "what ran there is lost";
        EXPECT_EQ(view(1).slots, 6U);
        finish(1, lost, EndKind::Broken);
        EXPECT_EQ(view(1).inFlight, 0U);
        tell(100, 4);
        EXPECT_EQ(view(1).slots, 6U) << "a late word of the former life";
    }

    TEST_F(BackendTableTest, TheFirstSignOfLeavingCountsWhereverItComesFrom)
    {
        add(2);
        LoadReport leaving = report(0);
        leaving.leaving = true;
        table_.onLoad(engine(1), leaving, now_);
        table_.onLeaving(engine(2), now_);
        EXPECT_FALSE(view(1).usable);
        EXPECT_FALSE(view(2).usable);
    }

    TEST_F(BackendTableTest, BreakerOpensForAGrowingTimeAndLetsOneProbeThrough)
    {
        add(1);
        fail(1, 2);
        EXPECT_TRUE(view(1).usable);
        fail(1, 1);
        EXPECT_EQ(view(1).state, BackendState::Broken);
        const Duration firstWait = *view(1).usableAt - now_;
        now_ = *view(1).usableAt;
        ASSERT_TRUE(view(1).probe);
        const AttemptId probe = dispatch(1);
        EXPECT_FALSE(view(1).usable) << "one probe at a time";
        finish(1, probe, EndKind::Broken);
        EXPECT_EQ(view(1).state, BackendState::Broken);
        for (int i = 0; i < 5; ++i) {
            now_ = *view(1).usableAt;
            finish(1, dispatch(1), EndKind::Broken);
        }
        EXPECT_LE(firstWait, 1250ms);
        EXPECT_GE(*view(1).usableAt - now_, 20s);
        EXPECT_LE(*view(1).usableAt - now_, 38s) << "30 s with its jitter";
    }

    TEST_F(BackendTableTest, SlowStartAfterTheBreakerCloses)
    {
        add(1);
        fail(1);
        now_ = *view(1).usableAt;
        finish(1, dispatch(1), EndKind::Completed);
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
        (void)dispatch(1);
        EXPECT_FALSE(view(1).usable) << "one at a time at first";
        now_ += 5s;
        (void)dispatch(1);
        (void)dispatch(1);
        EXPECT_TRUE(view(1).usable) << "half of its eight slots";
        (void)dispatch(1);
        EXPECT_FALSE(view(1).usable);
        now_ += 5s;
        EXPECT_TRUE(view(1).usable);
        EXPECT_EQ(view(1).state, BackendState::Up);
    }

    // Symptom: a backend server that is back stays out for another, longer time.
    // Events: the breaker opens; a request sent before fails only now, while the probe runs.
    // Cause: the late failure was taken for the probe's.
    TEST_F(BackendTableTest, ALateFailureOfAnOldRequestIsNotTheProbes)
    {
        add(1);
        const AttemptId old = dispatch(1);
        fail(1);
        now_ = *view(1).usableAt;
        const AttemptId probe = dispatch(1);
        finish(1, old, EndKind::Broken);
        EXPECT_EQ(view(1).state, BackendState::Probing);
        finish(1, probe, EndKind::Completed);
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
    }

    // Symptom: under overload all breakers open, and what still had room is not used.
    // Events: full backend servers turn requests away.
    // Cause: "full" was counted as a failure.
    TEST_F(BackendTableTest, FullIsAPauseAndNoFailure)
    {
        add(1);
        for (int i = 0; i < 10; ++i) {
            finish(1, dispatch(1), EndKind::NotStarted);
            EXPECT_FALSE(view(1).usable);
            now_ += 150ms;
            EXPECT_TRUE(view(1).usable);
        }
        EXPECT_EQ(view(1).state, BackendState::Up);
    }

    TEST_F(BackendTableTest, UnansweredPollsOpenTheBreakerAndAnAnswerHastensTheProbe)
    {
        add(1);
        for (int i = 0; i < 3; ++i) {
            table_.onLoadMissed(engine(1), now_);
        }
        EXPECT_FALSE(view(1).usable);
        table_.onLoad(engine(1), report(0), now_);
        EXPECT_TRUE(view(1).probe);
    }

    TEST_F(BackendTableTest, KnowsCachedPrefixesAndTrustsThemLessAfterAGap)
    {
        add(1);
        table_.onCacheEvents(engine(1), { { 10, CacheChange::Stored, 7 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 64 });
        EXPECT_LT(view(1, 7).predictedFirstToken, view(1, 8).predictedFirstToken);
        table_.onCacheEvents(engine(1), { { 12, CacheChange::Stored, 9 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 44 });
        EXPECT_EQ(view(1, 9).cachedTokens, Tokens { 64 });
        table_.onCacheEvents(engine(1), { { 13, CacheChange::Evicted, 9 }, { 10, CacheChange::Stored, 9 } }, now_);
        EXPECT_EQ(view(1, 9).cachedTokens, Tokens {}) << "a repeat of an old event says nothing";
        for (std::uint64_t gap = 20; gap < 60; gap += 2) {
            table_.onCacheEvents(engine(1), { { gap, CacheChange::Evicted, 1 } }, now_);
        }
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens {});
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        table_.onCacheEvents(engine(1), { { 0, CacheChange::Stored, 5 } }, now_);
        EXPECT_EQ(view(1, 5).cachedTokens, Tokens { 64 }) << "a new start counts from the beginning";
    }

    TEST_F(BackendTableTest, LearnsFromAnswersWhatWasCached)
    {
        add(1);
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens { 96 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 86 });
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens {} }, now_);
        EXPECT_LT(view(1, 7).cachedTokens, Tokens { 30 }) << "it was expected and was not there";
    }

    // Symptom: affinity finds hardly more cached tokens than a random choice. Events: an engine computes a long prefix
    // that others hold already, and tells of it by a cache event. Cause: the event's hash covers 64 tokens, and how
    // long the prefix is was known only of engines that had answered from their cache.
    TEST_F(BackendTableTest, ALengthLearntFromOneAnswerHoldsForAllWithThePrefix)
    {
        add(3);
        table_.onCacheEvents(engine(2), { { 0, CacheChange::Stored, 7 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens { 64 });
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens { 96 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens { 96 });
        EXPECT_EQ(view(3, 7).cachedTokens, Tokens {}) << "it has not told of the prefix";
        table_.onCacheEvents(engine(2), { { 1, CacheChange::Evicted, 7 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens {});
    }

    TEST_F(BackendTableTest, LengthsOfPrefixesAreBounded)
    {
        add(1);
        for (std::uint64_t prefix = 0; prefix < 5'000; ++prefix) {
            const FinishFacts facts { EndKind::Completed, Tokens { 100 }, Tokens { 96 } };
            table_.onFinished(engine(1), dispatch(1, prefix), facts, now_);
        }
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        table_.onCacheEvents(engine(1), { { 0, CacheChange::Stored, 1 }, { 1, CacheChange::Stored, 4'999 } }, now_);
        EXPECT_EQ(view(1, 1).cachedTokens, Tokens { 64 }) << "forgotten";
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 96 });
    }

    TEST_F(BackendTableTest, PrefixMemoryIsBounded)
    {
        add(1);
        std::vector<CacheNotice> events;
        for (std::uint64_t i = 0; i < 5'000; ++i) {
            events.push_back({ i, CacheChange::Stored, i });
        }
        table_.onCacheEvents(engine(1), events, now_);
        EXPECT_EQ(view(1, 100).cachedTokens, Tokens {});
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 64 });
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens { 64 });
        add(64);
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens { 64 }) << "1,024 each";
        add(632);
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens {}) << "the bound holds for all together";
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 64 });
    }

    TEST_F(BackendTableTest, LearnsWhatPromptTokensCostAndForgetsASlowSpell)
    {
        add(1);
        for (int i = 0; i < 200; ++i) {
            const std::int64_t prompt = 100 + 50 * (i % 10);
            const AttemptId attempt = dispatch(1, 1'000 + static_cast<std::uint64_t>(i), Tokens { prompt });
            now_ += 3ms + prompt * 100us;
            table_.onFirstToken(engine(1), attempt, now_);
            finish(1, attempt, EndKind::Completed);
        }
        const ViewRequest longPrompt { "stitch-7b", 0, Tokens { 1'000 } };
        const Duration predicted = table_.view(engine(1), longPrompt, now_)->predictedFirstToken;
        EXPECT_GT(predicted, 90ms);
        EXPECT_LT(predicted, 120ms);
        const AttemptId slow = dispatch(1);
        now_ += 4s;
        table_.onFirstToken(engine(1), slow, now_);
        finish(1, slow, EndKind::Completed);
        EXPECT_GT(view(1).predictedFirstToken, 300ms);
        now_ += 60s;
        EXPECT_LT(view(1).predictedFirstToken, 100ms);
    }

    TEST_F(BackendTableTest, ARemovedBackendIsForgottenWhenItsLastRequestEnds)
    {
        add(2);
        const AttemptId attempt = dispatch(2);
        table_.setBackends(drafts, { { engine(1), home } }, now_);
        EXPECT_EQ(table_.backendsOf(drafts), std::vector { engine(1) });
        EXPECT_EQ(table_.backends().size(), 2U);
        finish(2, attempt, EndKind::Completed);
        table_.tick(now_);
        EXPECT_EQ(table_.backends().size(), 1U);
    }

} // namespace
} // namespace swiftlift::routing::test
