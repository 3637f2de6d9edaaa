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

        void reportLost(std::vector<Fingerprint> requests, const std::string& server, std::uint64_t reporter = 1)
        {
            quarantine.onReport(
                { { Incarnation(reporter), ++number }, std::move(requests), BackendInstance { BackendId(server), 0 } },
                now);
        }

        void reportAnswered(const Fingerprint& answered) { quarantine.onAnswered(answered, now); }

        Quarantine quarantine;
        std::uint64_t number = 0;
        Instant now { hours(24) };
    };

    // Guards against sending a request to a fourth server after three servers crashed while running it, when the three
    // crashes were reported by different routers.
    TEST_F(QuarantineTest, QuarantinesRequestLostWithThreeInstances)
    {
        reportLost({ request(1), request(2) }, "a", 1);
        reportLost({ request(1), request(3) }, "b", 2);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
        reportLost({ request(1), request(4) }, "c", 3);
        ASSERT_TRUE(quarantine.quarantineEntry(request(1)));
        EXPECT_EQ(quarantine.quarantineEntry(request(1))->serversEnded, 3U);
        for (const std::uint64_t other : { 2, 3, 4 }) {
            EXPECT_FALSE(quarantine.quarantineEntry(request(other)));
        }
    }

    // Guards against counting the end of one instance several times because it was reported several times.
    TEST_F(QuarantineTest, CountsInstancesNotReports)
    {
        for (std::uint64_t reporter = 1; reporter <= 4; ++reporter) {
            reportLost({ request(1) }, "a", reporter);
        }
        EXPECT_EQ(quarantine.serversEnded(request(1)), 1U);
        const Report repeated { { Incarnation(9), 1 }, { request(1) }, BackendInstance { BackendId("b"), 0 } };
        quarantine.onReport(repeated, now);
        quarantine.onReport(repeated, now);
        EXPECT_EQ(quarantine.serversEnded(request(1)), 2U);
        quarantine.onReport({ { Incarnation(9), 2 }, { request(1) }, BackendInstance { BackendId("b"), 7 } }, now);
        EXPECT_EQ(quarantine.serversEnded(request(1)), 3U)
            << "a server that restarted under the same id is a new instance";
    }

    // Guards against one client account getting the same content refused for other accounts.
    TEST_F(QuarantineTest, QuarantineIsPerAccount)
    {
        for (const char* server : { "a", "b", "c" }) {
            reportLost({ request(1, "club") }, server);
        }
        EXPECT_TRUE(quarantine.quarantineEntry(request(1, "club")));
        EXPECT_FALSE(quarantine.quarantineEntry(request(1, "firm")));
    }

    // Guards against refusing a request that many callers send after servers ended for an unrelated reason.
    TEST_F(QuarantineTest, AnswerClearsSuspicion)
    {
        reportLost({ request(1) }, "a");
        reportLost({ request(1) }, "b");
        reportAnswered(request(1));
        reportLost({ request(1) }, "c");
        EXPECT_EQ(quarantine.serversEnded(request(1)), 0U) << "the request was answered less than 30 s ago";
        now += seconds(60);
        reportLost({ request(1) }, "d");
        EXPECT_EQ(quarantine.serversEnded(request(1)), 1U);
    }

    TEST_F(QuarantineTest, ReportedAnswerClearsSuspicion)
    {
        for (const char* server : { "a", "b", "c" }) {
            reportLost({ request(1) }, server);
        }
        quarantine.onReport({ { Incarnation(8), 1 }, { request(1) }, std::nullopt }, now);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    // Guards against counting reset connections to a running server as the end of the server.
    TEST_F(QuarantineTest, WithdrawnReportNoLongerCounts)
    {
        for (const char* server : { "a", "b", "c" }) {
            reportLost({ request(1) }, server);
        }
        quarantine.onWithdrawn({ Incarnation(1), 2 });
        EXPECT_EQ(quarantine.serversEnded(request(1)), 2U);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    TEST_F(QuarantineTest, QuarantineEndsWhenReportsExpire)
    {
        reportLost({ request(1) }, "a");
        now += seconds(10);
        reportLost({ request(1) }, "b");
        reportLost({ request(1) }, "c");
        ASSERT_TRUE(quarantine.quarantineEntry(request(1)));
        EXPECT_EQ(quarantine.quarantineEntry(request(1))->until, now - seconds(10) + hours(1));
        EXPECT_TRUE(quarantine.expire(now).empty());
        now += hours(1) - seconds(10);
        EXPECT_EQ(quarantine.expire(now).size(), 1U);
        EXPECT_FALSE(quarantine.quarantineEntry(request(1)));
    }

    // Guards against a flood of requests that were each lost once evicting the request that crashed several servers.
    TEST_F(QuarantineTest, FloodOfSuspectsEvictsRequestsLostOnce)
    {
        const QuarantineLimits limits;
        for (const char* server : { "a", "b", "c" }) {
            reportLost({ request(1) }, server);
        }
        for (std::uint64_t other = 2; other < 2 * limits.maxReports; ++other) {
            reportLost({ request(other, "flooder") }, "x" + std::to_string(other));
        }
        EXPECT_LE(quarantine.suspects(), limits.maxSuspects);
        EXPECT_TRUE(quarantine.quarantineEntry(request(1)));
    }

} // namespace
} // namespace swiftlift::quarantine
