#include <gtest/gtest.h>

#include "swiftlift/quarantine/ReportOutbox.h"

namespace swiftlift::quarantine {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class ReportOutboxTest : public testing::Test {
    protected:
        static constexpr Incarnation self { 0xABC };

        [[nodiscard]] static Fingerprint request(std::uint64_t number) { return { AccountId("club"), { number, 1 } }; }

        [[nodiscard]] std::optional<ReportOrder> dueAfter(Duration time)
        {
            now += time;
            return outbox.due(milliseconds(5), now);
        }

        ReportOutbox outbox { self };
        BackendInstance instance { BackendId("i-1"), 0 };
        Instant now { seconds(100) };
    };

    TEST_F(ReportOutboxTest, RequestsLostTogetherShareOneReport)
    {
        (void)outbox.onRequestLost(request(1), {}, instance, now);
        EXPECT_FALSE(dueAfter(milliseconds(20)));
        EXPECT_EQ(outbox.onRequestLost(request(2), {}, instance, now).requests.size(), 2U);
        const auto order = dueAfter(milliseconds(100));
        ASSERT_TRUE(order && order->report);
        EXPECT_EQ(order->report->requests, (std::vector { request(1), request(2) }));
        EXPECT_EQ(order->report->failedInstance, instance);
    }

    // Guards against a lost append keeping a report from the other routers for good.
    TEST_F(ReportOutboxTest, RepeatsWriteUntilReportIsReadBack)
    {
        const ReportId id = outbox.onRequestLost(request(1), {}, instance, now).id;
        EXPECT_TRUE(dueAfter(milliseconds(100)));
        EXPECT_FALSE(dueAfter(milliseconds(100)));
        EXPECT_TRUE(dueAfter(seconds(1)));
        outbox.onRead(id, true, now);
        EXPECT_FALSE(dueAfter(seconds(5)));
        EXPECT_EQ(outbox.unread(), 0U);
    }

    // Guards against reporting the end of a server that keeps answering after some of its connections were reset.
    TEST_F(ReportOutboxTest, RevokesReportWhenInstanceRanAfterwards)
    {
        const ReportId id = outbox.onRequestLost(request(1), {}, instance, now).id;
        EXPECT_TRUE(outbox.onInstanceAlive(instance, now).empty())
            << "the instance may have ended right after the moment of the loss";
        EXPECT_EQ(outbox.onInstanceAlive(instance, now + milliseconds(1)), std::vector { id });
        EXPECT_FALSE(dueAfter(seconds(5)))
            << "the revoked report was not written yet, so there is nothing to drop from the log";
    }

    // Guards against revoking the report about an instance because of answers of the next instance, which started
    // within seconds under the same id.
    TEST_F(ReportOutboxTest, KeepsReportWhenAnswerCameTooLate)
    {
        const ReportId id = outbox.onRequestLost(request(1), {}, instance, now).id;
        EXPECT_TRUE(outbox.onInstanceAlive(instance, now + seconds(1), milliseconds(500)).empty());
        EXPECT_EQ(outbox.onInstanceAlive(instance, now + milliseconds(200), milliseconds(500)), std::vector { id });
    }

    // Guards against a late append restoring a report that was revoked and dropped.
    TEST_F(ReportOutboxTest, DropsRevokedReportAgainWhenItsAppendArrivesLate)
    {
        const ReportId id = outbox.onRequestLost(request(1), {}, instance, now).id;
        ASSERT_TRUE(dueAfter(milliseconds(100)));
        EXPECT_EQ(outbox.onInstanceAlive(instance, now), std::vector { id });
        auto order = dueAfter(milliseconds(10));
        ASSERT_TRUE(order);
        EXPECT_FALSE(order->report);
        outbox.onRead(id, false, now);
        EXPECT_FALSE(dueAfter(seconds(5)));
        outbox.onRead(id, true, now);
        order = dueAfter(milliseconds(10));
        ASSERT_TRUE(order);
        EXPECT_EQ(order->id, id);
        EXPECT_FALSE(order->report);
    }

    TEST_F(ReportOutboxTest, WritesAdoptedReportUnlessItIsReadBefore)
    {
        const Report other { { Incarnation(7), 1 }, { request(1) }, instance };
        outbox.adopt(other, now + seconds(1));
        EXPECT_FALSE(dueAfter(milliseconds(500)));
        const auto order = dueAfter(milliseconds(600));
        ASSERT_TRUE(order && order->report);
        EXPECT_EQ(order->id, other.id);
        EXPECT_FALSE(order->first) << "the reporter has sent the report to its peers already";
    }

    TEST(ReportRecord, DecodesWhatWasEncoded)
    {
        const Report report { { Incarnation(0xFEDC), 18 },
            { { AccountId("club"), { 1, 2 } }, { AccountId(""), { 3, 4 } } },
            BackendInstance { BackendId("i-1"), 17 } };
        const auto read = decode(encode(report));
        ASSERT_TRUE(read);
        EXPECT_EQ(read->id, report.id);
        EXPECT_EQ(read->requests, report.requests);
        EXPECT_EQ(read->failedInstance, report.failedInstance);
        EXPECT_EQ(idOf(keyOf(report.id)), report.id);
        EXPECT_FALSE(idOf("vm"));
        EXPECT_FALSE(decode("\xff\xff"));
        EXPECT_FALSE(decode(""));
    }

} // namespace
} // namespace swiftlift::quarantine
