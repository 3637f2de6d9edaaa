#include "swiftlift/routing/BackendTable.h"

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    using BackendTableTest = TableTest;

    TEST_F(BackendTableTest, CorrectsOldReportByAttemptsSentSince)
    {
        setEngines(1);
        now_ += 1s;
        (void)dispatch(1);
        const AttemptId second = dispatch(1);
        EXPECT_EQ(view(1).running, 2U);
        now_ += 100ms;
        table_.onLoad(engine(1), report(5), now_);
        EXPECT_EQ(view(1).running, 7U) << "the report shows the load before the two attempts were sent";
        now_ += 1s;
        table_.onLoad(engine(1), report(7), now_);
        EXPECT_EQ(view(1).running, 7U) << "the report includes the two attempts";
        finish(1, second, EndKind::Completed);
        EXPECT_EQ(view(1).running, 6U);
        now_ += 10s;
        EXPECT_EQ(view(1).running, 1U) << "the report is too old: only this router's own attempt counts";
    }

    TEST_F(BackendTableTest, WaitingRequestsDelayThePredictedFirstToken)
    {
        setEngines(2);
        table_.onLoad(engine(1), report(8, 6), now_);
        EXPECT_EQ(view(1).slots, 8U);
        EXPECT_EQ(view(1).waiting, 6U);
        EXPECT_GT(view(1).predictedFirstToken, view(2).predictedFirstToken + 100ms);
    }

    // Guards against requests to a leaving backend server: its answer announces that it is leaving, and a load report
    // that was made before the announcement arrives after it.
    TEST_F(BackendTableTest, OlderLoadReportDoesNotEndLeaving)
    {
        setEngines(1);
        finish(1, dispatch(1), EndKind::Leaving);
        EXPECT_EQ(view(1).state, BackendState::Leaving);
        for (int i = 0; i < 20; ++i) {
            now_ += 1s;
            table_.onLoad(engine(1), report(0), now_);
            EXPECT_FALSE(view(1).usable);
        }
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        EXPECT_TRUE(view(1).usable) << "a greater generation shows that the server has restarted";
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
    }

    // Guards against a server that gets no requests for half a minute after a restart: it crashes, requests fail until
    // its breaker opens, and it restarts under the same id. Breaker, load and cache of the former instance must not
    // count.
    TEST_F(BackendTableTest, NewInstanceUnderTheSameIdResetsItsState)
    {
        const ServiceName service = drafts;
        const auto listInstance = [&](std::uint64_t instance, std::uint32_t slots) {
            table_.setBackends(service, { { engine(1), ownDomain, slots, instance } }, now_);
        };
        listInstance(100, 4);
        const AttemptId formerAttempt = dispatch(1);
        for (int failure = 0; failure < 3; ++failure) {
            finish(1, dispatch(1), EndKind::Broken);
        }
        EXPECT_FALSE(view(1).usable);
        listInstance(100, 4);
        EXPECT_FALSE(view(1).usable) << "the same instance is listed again";
        listInstance(200, 6);
        EXPECT_TRUE(view(1).usable);
        EXPECT_EQ(view(1).inFlight, 0U) << "attempts at the former instance are lost";
        EXPECT_EQ(view(1).slots, 6U);
        finish(1, formerAttempt, EndKind::Broken);
        EXPECT_EQ(view(1).inFlight, 0U);
        listInstance(100, 4);
        EXPECT_EQ(view(1).slots, 6U) << "an outdated entry of the former instance is ignored";
    }

    TEST_F(BackendTableTest, LeavingIsTakenFromReportsAndFromAnnouncements)
    {
        setEngines(2);
        LoadReport leaving = report(0);
        leaving.leaving = true;
        table_.onLoad(engine(1), leaving, now_);
        table_.onLeaving(engine(2), now_);
        EXPECT_FALSE(view(1).usable);
        EXPECT_FALSE(view(2).usable);
    }

    TEST_F(BackendTableTest, BreakerOpensForAGrowingTimeAndLetsOneProbeThrough)
    {
        setEngines(1);
        breakAttempts(1, 2);
        EXPECT_TRUE(view(1).usable);
        breakAttempts(1, 1);
        EXPECT_EQ(view(1).state, BackendState::Broken);
        const Duration firstWait = *view(1).usableAt - now_;
        now_ = *view(1).usableAt;
        ASSERT_TRUE(view(1).probe);
        const AttemptId probe = dispatch(1);
        EXPECT_FALSE(view(1).usable) << "the probe is in progress";
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
        setEngines(1);
        breakAttempts(1);
        now_ = *view(1).usableAt;
        finish(1, dispatch(1), EndKind::Completed);
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
        (void)dispatch(1);
        EXPECT_FALSE(view(1).usable) << "a slow start begins with one request at a time";
        now_ += 5s;
        (void)dispatch(1);
        (void)dispatch(1);
        EXPECT_TRUE(view(1).usable) << "half of the eight slots may be used";
        (void)dispatch(1);
        EXPECT_FALSE(view(1).usable);
        now_ += 5s;
        EXPECT_TRUE(view(1).usable);
        EXPECT_EQ(view(1).state, BackendState::Up);
    }

    // Guards against a breaker that opens again, for longer, though its backend server works again: an attempt that was
    // sent before the breaker opened fails while the probe is in progress, and must not count as the probe's failure.
    TEST_F(BackendTableTest, FailureOfAnEarlierAttemptIsNotTheProbesFailure)
    {
        setEngines(1);
        const AttemptId earlier = dispatch(1);
        breakAttempts(1);
        now_ = *view(1).usableAt;
        const AttemptId probe = dispatch(1);
        finish(1, earlier, EndKind::Broken);
        EXPECT_EQ(view(1).state, BackendState::Probing);
        finish(1, probe, EndKind::Completed);
        EXPECT_EQ(view(1).state, BackendState::SlowStart);
    }

    // Guards against all breakers opening under overload, which leaves free capacity unused: a refusal by a full
    // backend server must not count as a failure.
    TEST_F(BackendTableTest, RefusalByFullServerPausesItAndIsNoFailure)
    {
        setEngines(1);
        for (int i = 0; i < 10; ++i) {
            finish(1, dispatch(1), EndKind::NotStarted);
            EXPECT_FALSE(view(1).usable);
            now_ += 150ms;
            EXPECT_TRUE(view(1).usable);
        }
        EXPECT_EQ(view(1).state, BackendState::Up);
    }

    TEST_F(BackendTableTest, FailedPollsOpenTheBreakerAndALoadReportAllowsTheProbe)
    {
        setEngines(1);
        for (int i = 0; i < 3; ++i) {
            table_.onLoadMissed(engine(1), now_);
        }
        EXPECT_FALSE(view(1).usable);
        table_.onLoad(engine(1), report(0), now_);
        EXPECT_TRUE(view(1).probe);
    }

    TEST_F(BackendTableTest, CacheEventGapReducesExpectedCachedTokens)
    {
        setEngines(1);
        table_.onCacheEvents(engine(1), { { 10, CacheChange::Stored, 7 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 64 });
        EXPECT_LT(view(1, 7).predictedFirstToken, view(1, 8).predictedFirstToken);
        table_.onCacheEvents(engine(1), { { 12, CacheChange::Stored, 9 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 44 });
        EXPECT_EQ(view(1, 9).cachedTokens, Tokens { 64 });
        table_.onCacheEvents(engine(1), { { 13, CacheChange::Evicted, 9 }, { 10, CacheChange::Stored, 9 } }, now_);
        EXPECT_EQ(view(1, 9).cachedTokens, Tokens {}) << "a repeated old event is ignored";
        for (std::uint64_t gap = 20; gap < 60; gap += 2) {
            table_.onCacheEvents(engine(1), { { gap, CacheChange::Evicted, 1 } }, now_);
        }
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens {});
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        table_.onCacheEvents(engine(1), { { 0, CacheChange::Stored, 5 } }, now_);
        EXPECT_EQ(view(1, 5).cachedTokens, Tokens { 64 }) << "after a restart, the sequence numbers start again";
    }

    TEST_F(BackendTableTest, LearnsFromAnswersWhatWasCached)
    {
        setEngines(1);
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens { 96 } }, now_);
        EXPECT_EQ(view(1, 7).cachedTokens, Tokens { 86 });
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens {} }, now_);
        EXPECT_LT(view(1, 7).cachedTokens, Tokens { 30 }) << "the answer had none of the expected tokens cached";
    }

    // Guards against affinity finding hardly more cached tokens than a random choice: an engine computes a long prefix
    // that others have cached already and reports it by a cache event, whose hash covers only 64 tokens. The length
    // learnt from another engine's answer must apply to this engine too.
    TEST_F(BackendTableTest, PrefixLengthFromOneAnswerAppliesToAllServersWithThePrefix)
    {
        setEngines(3);
        table_.onCacheEvents(engine(2), { { 0, CacheChange::Stored, 7 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens { 64 });
        table_.onFinished(engine(1), dispatch(1, 7), { EndKind::Completed, Tokens { 100 }, Tokens { 96 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens { 96 });
        EXPECT_EQ(view(3, 7).cachedTokens, Tokens {}) << "no cache event reported the prefix for this engine";
        table_.onCacheEvents(engine(2), { { 1, CacheChange::Evicted, 7 } }, now_);
        EXPECT_EQ(view(2, 7).cachedTokens, Tokens {});
    }

    TEST_F(BackendTableTest, NumberOfPrefixLengthsIsBounded)
    {
        setEngines(1);
        for (std::uint64_t prefix = 0; prefix < 5'000; ++prefix) {
            const FinishFacts facts { EndKind::Completed, Tokens { 100 }, Tokens { 96 } };
            table_.onFinished(engine(1), dispatch(1, prefix), facts, now_);
        }
        table_.onLoad(engine(1), report(0, 0, 2), now_);
        table_.onCacheEvents(engine(1), { { 0, CacheChange::Stored, 1 }, { 1, CacheChange::Stored, 4'999 } }, now_);
        EXPECT_EQ(view(1, 1).cachedTokens, Tokens { 64 }) << "the length was evicted, so only the hashed tokens count";
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 96 });
    }

    TEST_F(BackendTableTest, PrefixMemoryIsBounded)
    {
        setEngines(1);
        std::vector<CacheNotice> events;
        for (std::uint64_t i = 0; i < 5'000; ++i) {
            events.push_back({ i, CacheChange::Stored, i });
        }
        table_.onCacheEvents(engine(1), events, now_);
        EXPECT_EQ(view(1, 100).cachedTokens, Tokens {});
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 64 });
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens { 64 });
        setEngines(64);
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens { 64 }) << "64 servers remember 1,024 prefixes each";
        setEngines(632);
        EXPECT_EQ(view(1, 4'000).cachedTokens, Tokens {}) << "the bound is shared by all servers";
        EXPECT_EQ(view(1, 4'999).cachedTokens, Tokens { 64 });
    }

    TEST_F(BackendTableTest, MeasuresPrefillTimeAndLetsOffsetOfSlowAnswerDecay)
    {
        setEngines(1);
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

    TEST_F(BackendTableTest, RemovedBackendIsErasedWhenItsLastAttemptEnds)
    {
        setEngines(2);
        const AttemptId attempt = dispatch(2);
        table_.setBackends(drafts, { { engine(1), ownDomain } }, now_);
        EXPECT_EQ(table_.backendsOf(drafts), std::vector { engine(1) });
        EXPECT_EQ(table_.backends().size(), 2U);
        finish(2, attempt, EndKind::Completed);
        table_.tick(now_);
        EXPECT_EQ(table_.backends().size(), 1U);
    }

} // namespace
} // namespace swiftlift::routing::test
