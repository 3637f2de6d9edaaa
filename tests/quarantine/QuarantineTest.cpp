#include <gtest/gtest.h>

#include "swiftlift/quarantine/Quarantine.h"

namespace swiftlift::quarantine {
namespace {

    using std::chrono::hours;
    using std::chrono::seconds;

    class QuarantineTest : public testing::Test {
    protected:
        [[nodiscard]] static Fingerprint request(std::uint64_t number, const std::string& account = "club")
        {
            return { AccountId(account), { number, 1 } };
        }

        void lose(std::vector<Fingerprint> requests, const std::string& server, std::uint64_t reporter = 1)
        {
            quarantine.onReport(
                { { Incarnation(reporter), ++number }, std::move(requests), BackendInstance { BackendId(server), 0 } },
                now);
        }

        void answer(const Fingerprint& answered) { quarantine.onAnswered(answered, now); }

        Quarantine quarantine;
        std::uint64_t number = 0;
        Instant now { hours(24) };
    };

    // Guards against: a request that crashes servers is sent to a fourth one, wherever the first three were reported.
    TEST_F(QuarantineTest, ConfinesARequestUnderWhichThreeServersEnded)
    {
        lose({ request(1), request(2) }, "a", 1);
        lose({ request(1), request(3) }, "b", 2);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
        lose({ request(1), request(4) }, "c", 3);
        ASSERT_TRUE(quarantine.quarantineEntry(request(1)));
        EXPECT_EQ(quarantine.quarantineEntry(request(1))->serversEnded, 3U);
        for (const std::uint64_t innocent : { 2, 3, 4 }) {
            EXPECT_FALSE(quarantine.quarantineEntry(request(innocent)));
        }
    }

    // Guards against: one end, reported by several routers or twice, counts as several.
    TEST_F(QuarantineTest, CountsLivesAndNotReports)
    {
        for (std::uint64_t reporter = 1; reporter <= 4; ++reporter) {
            lose({ request(1) }, "a", reporter);
        }
        EXPECT_EQ(quarantine.serversEnded(request(1)), 1U);
        const Report repeated { { Incarnation(9), 1 }, { request(1) }, BackendInstance { BackendId("b"), 0 } };
        quarantine.onReport(repeated, now);
        quarantine.onReport(repeated, now);
        EXPECT_EQ(quarantine.serversEnded(request(1)), 2U);
        quarantine.onReport({ { Incarnation(9), 2 }, { request(1) }, BackendInstance { BackendId("b"), 7 } }, now);
        EXPECT_EQ(quarantine.serversEnded(request(1)), 3U)
            << "a server that started again under its id is another life";
    }

    // Guards against: one account gets what others ask for refused.
    TEST_F(QuarantineTest, ConfinesNobodyElsesRequest)
    {
        for (const char* server : { "a", "b", "c" }) {
            lose({ request(1, "club") }, server);
        }
        EXPECT_TRUE(quarantine.quarantineEntry(request(1, "club")));
        EXPECT_FALSE(quarantine.quarantineEntry(request(1, "firm")));
    }

    // Guards against: what many callers ask for is refused after servers ended for another cause.
    TEST_F(QuarantineTest, AnAnswerRefutesWhatWasReported)
    {
        lose({ request(1) }, "a");
        lose({ request(1) }, "b");
        answer(request(1));
        lose({ request(1) }, "c");
        EXPECT_EQ(quarantine.serversEnded(request(1)), 0U) << "it was answered a moment ago";
        now += seconds(60);
        lose({ request(1) }, "d");
        EXPECT_EQ(quarantine.serversEnded(request(1)), 1U);
    }

    TEST_F(QuarantineTest, ReportOfAnAnswerElsewhereRefutesWhatCameBefore)
    {
        for (const char* server : { "a", "b", "c" }) {
            lose({ request(1) }, server);
        }
        quarantine.onReport({ { Incarnation(8), 1 }, { request(1) }, std::nullopt }, now);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    // Guards against: connections that were reset count as servers that ended.
    TEST_F(QuarantineTest, WithdrawnReportCountsNoMore)
    {
        for (const char* server : { "a", "b", "c" }) {
            lose({ request(1) }, server);
        }
        quarantine.onWithdrawn({ Incarnation(1), 2 });
        EXPECT_EQ(quarantine.serversEnded(request(1)), 2U);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    TEST_F(QuarantineTest, ReportsExpireAndTheConfinementSaysWhen)
    {
        lose({ request(1) }, "a");
        now += seconds(10);
        lose({ request(1) }, "b");
        lose({ request(1) }, "c");
        ASSERT_TRUE(quarantine.quarantineEntry(request(1)));
        EXPECT_EQ(quarantine.quarantineEntry(request(1))->until, now - seconds(10) + hours(1));
        EXPECT_TRUE(quarantine.expire(now).empty());
        now += hours(1) - seconds(10);
        EXPECT_EQ(quarantine.expire(now).size(), 1U);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    // Guards against: a flood of requests that were lost once makes a true culprit forgotten.
    TEST_F(QuarantineTest, FloodOfSuspectsForgetsThoseLostOnce)
    {
        const QuarantineLimits limits;
        for (const char* server : { "a", "b", "c" }) {
            lose({ request(1) }, server);
        }
        for (std::uint64_t other = 2; other < 2 * limits.maxReports; ++other) {
            lose({ request(other, "flooder") }, "x" + std::to_string(other));
        }
        EXPECT_LE(quarantine.suspects(), limits.maxSuspects);
        EXPECT_TRUE(quarantine.quarantineEntry(request(1)));
    }

} // namespace
} // namespace swiftlift::quarantine
