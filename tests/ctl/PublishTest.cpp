#include "ctl/Publish.h"

#include <gmock/gmock.h>

#include "ctl/FakeLog.h"
#include "ctl/Views.h"
#include "settings/Samples.h"
#include "swiftlift/config/Record.h"

namespace swiftlift::ctl {

namespace {

    using settings::test::plainDocument;
    using settings::test::replaced;
    using testing::HasSubstr;

    const ServiceName desk("order-desk");
    const std::string first(plainDocument);
    const std::string second = replaced(plainDocument, "call_cost: 5", "call_cost: 7");
    const std::string third = replaced(plainDocument, "call_cost: 5", "call_cost: 9");

    class PublishTest : public testing::Test {
    protected:
        Report send(std::uint64_t id, const std::string& text, std::optional<ExpectedRevision> expected = {})
        {
            test::CountedPollTimer pollTimer(3);
            return publish({ log_, pollTimer, id }, { "mina", expected }, text, "desk.yaml");
        }

        Report sendWithdrawal(std::uint64_t id)
        {
            test::CountedPollTimer pollTimer(3);
            return withdraw({ log_, pollTimer, id }, { "mina", std::nullopt }, desk);
        }

        /** Appends another operator's publish to the log. */
        void publishAsRival(const std::string& text, std::optional<Offset> replaces)
        {
            log_.put("config", config::encode({ desk, text, replaces, "olek", 77 }));
        }

        test::FakeLog log_;
    };

} // namespace

TEST_F(PublishTest, PutsADocumentInForceAndShowsIt)
{
    EXPECT_EQ(send(1, first).text, "service order-desk published as revision 0\n");
    EXPECT_EQ(send(2, second).json["revision"], 1);
    const auto shown = showService(log_, desk);
    EXPECT_EQ(shown.text, "# service order-desk, revision 1, published by mina\n" + second);
    EXPECT_EQ(shown.json["document"], second);
    EXPECT_EQ(sendWithdrawal(3).json["revision"], 2);
    EXPECT_EQ(showService(log_, desk).text, "service order-desk was withdrawn by mina\n");
    EXPECT_EQ(sendWithdrawal(4).code, ExitCode::Refused);
    EXPECT_EQ(serviceHistory(log_, desk).text,
        "REVISION  CHANGE     AUTHOR  ID\n"
        "0         published  mina    0000000000000001\n"
        "1         published  mina    0000000000000002\n"
        "2         withdrawn  mina    0000000000000003\n");
    EXPECT_EQ(listServices(log_).json["services"].size(), 0U);
    EXPECT_EQ(showService(log_, ServiceName("other")).code, ExitCode::Refused);
}

// Two operators read revision 0 and publish, and the log accepts both appends. If the later publish replaced the
// earlier one, a change would be lost silently; instead it is refused, and its author is shown the winner and the
// difference.
TEST_F(PublishTest, ReportsWinnerAndDifferencesToTheLoserOfARace)
{
    ASSERT_EQ(send(1, first).code, ExitCode::Ok);
    log_.beforeAppend = [&] { publishAsRival(second, Offset(0)); };
    const auto lost = send(2, third);
    EXPECT_EQ(lost.code, ExitCode::Refused);
    EXPECT_EQ(lost.text,
        "refused: revision 1 of order-desk was published by olek first\n"
        "lines in force (-) against yours (+):\n"
        "-6:   call_cost: 7\n"
        "+6:   call_cost: 9\n"
        "To replace that revision, publish with --expect-revision 1\n");
    EXPECT_EQ(lost.json["current_author"], "olek");
    EXPECT_EQ(lost.json["current_revision"], 1);
    EXPECT_THAT(showService(log_, desk).text, HasSubstr("call_cost: 7"));
    EXPECT_EQ(send(3, third, ExpectedRevision { Offset(1) }).code, ExitCode::Ok);
}

TEST_F(PublishTest, SendsNothingWhenTheExpectedRevisionIsGone)
{
    ASSERT_EQ(send(1, first, ExpectedRevision {}).code, ExitCode::Ok);
    const int appends = log_.appends;
    EXPECT_THAT(send(2, second, ExpectedRevision {}).text, HasSubstr("published by mina first"));
    EXPECT_THAT(send(3, second, ExpectedRevision { Offset(8) }).text, HasSubstr("published by mina first"));
    EXPECT_EQ(log_.appends, appends);
    EXPECT_EQ(send(4, replaced(second, "order-desk", "new-desk"), ExpectedRevision { Offset(0) }).text,
        "service new-desk was never published\n");
}

// The answer to an append is lost and the append is repeated, so that the second record finds the first already in
// force. If the outcome were taken from the second record, a successful publish would be reported as refused.
TEST_F(PublishTest, SucceedsWhenAnswersAreLost)
{
    log_.loseAnswers = 2;
    EXPECT_EQ(send(1, first).code, ExitCode::Ok);
    log_.delayAppends = 100;
    EXPECT_EQ(send(2, second).code, ExitCode::Unreachable);
    log_.landLate();
    EXPECT_EQ(send(2, second).json["revision"], showService(log_, desk).json["revision"]);
    EXPECT_THAT(showService(log_, desk).text, HasSubstr("call_cost: 7"));
}

TEST_F(PublishTest, ReportsFindingsAndSendsNothing)
{
    const auto report = send(1, replaced(first, "call_cost: 5", "call_cost: free"));
    EXPECT_EQ(report.code, ExitCode::Usage);
    EXPECT_EQ(report.text, "desk.yaml:6:14: limits.call_cost: expected a whole number, found \"free\"\n");
    EXPECT_EQ(report.json["findings"][0]["line"], 6);
    EXPECT_EQ(log_.appends, 0);
    EXPECT_EQ(checkDocument(first, "desk.yaml").text, "desk.yaml: service order-desk, no findings\n");
}

} // namespace swiftlift::ctl
