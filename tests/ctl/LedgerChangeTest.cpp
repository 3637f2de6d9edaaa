#include "ctl/LedgerChange.h"

#include <gmock/gmock.h>

#include "ctl/FakeLog.h"
#include "ctl/LedgerReader.h"
#include "ctl/Views.h"
#include "swiftlift/ledger/EntryCodec.h"

namespace swiftlift::ctl {

namespace {

    using testing::HasSubstr;

    const AccountId club("regina-curling");
    const BudgetRef desk { club, BudgetId("desk") };
    const std::string stream = "ledger-0";

    class LedgerChangeTest : public testing::Test {
    protected:
        Report create(std::uint64_t id) { return createAccount(context(id), 1, club, "hash"); }
        Report add(std::uint64_t id, std::int64_t tokens) { return topUp(context(id), 1, desk, Tokens(tokens)); }
        Report close(std::uint64_t id, std::optional<Offset> expected = {})
        {
            return closeAccount(context(id), 1, club, expected);
        }

        std::int64_t bought()
        {
            LedgerReader reader(log_, StreamName(stream));
            EXPECT_TRUE(reader.catchUp()) << reader.lastReason();
            const auto view = reader.fold().budget(desk);
            return view ? view->bought.value() : 0;
        }

        void put(std::uint64_t origin, std::uint64_t sequence, ledger::Entry entry)
        {
            const ledger::Batch batch { ledger::rulesVersion, { { Incarnation(origin), sequence, std::move(entry) } } };
            log_.put(stream, ledger::encode(batch));
        }

        test::FakeLog log_;

    private:
        ChangeContext context(std::uint64_t id)
        {
            pollTimer_ = std::make_unique<test::CountedPollTimer>(3);
            return { log_, *pollTimer_, id };
        }

        std::unique_ptr<test::CountedPollTimer> pollTimer_;
    };

} // namespace

TEST_F(LedgerChangeTest, CreatesAnAccountOnceAndRefusesTheSecondOperator)
{
    EXPECT_EQ(create(1).code, ExitCode::Ok);
    const auto second = create(2);
    EXPECT_EQ(second.code, ExitCode::Refused);
    EXPECT_EQ(second.text, "refused at ledger-0 offset 1: the account exists already\n");
    EXPECT_EQ(second.json["outcome"], "refused");
}

// A top-up whose answer is lost is appended again. The repeat has the same author and sequence number, so that the fold
// does not count it as a second top-up and the budget does not show twice the tokens that were paid for.
TEST_F(LedgerChangeTest, CountsATopUpOnceWhenAnswersAreLost)
{
    ASSERT_EQ(create(1).code, ExitCode::Ok);
    log_.loseAnswers = 2;
    log_.unreadable = false;
    const auto report = add(2, 500);
    EXPECT_EQ(report.code, ExitCode::Ok);
    EXPECT_EQ(report.json["bought"], 500);
    EXPECT_EQ(bought(), 500);
}

// The append of a top-up lands only after the command has timed out and the operator has repeated the command with the
// printed id. If the second run used a new author, the budget would show twice the tokens that were paid for.
TEST_F(LedgerChangeTest, CountsATopUpOnceWhenItIsRepeatedWithItsId)
{
    ASSERT_EQ(create(1).code, ExitCode::Ok);
    log_.delayAppends = 100;
    const auto unknown = add(0xAB, 500);
    EXPECT_EQ(unknown.code, ExitCode::Unreachable);
    EXPECT_EQ(unknown.json["outcome"], "unknown");
    EXPECT_THAT(unknown.text, HasSubstr("--id 00000000000000ab"));
    log_.delayAppends = 0;
    EXPECT_EQ(add(0xAB, 500).code, ExitCode::Ok);
    log_.landLate();
    EXPECT_EQ(bought(), 500);
    const int appends = log_.appends;
    EXPECT_EQ(add(0xAB, 500).code, ExitCode::Ok) << "found in the log, not sent again";
    EXPECT_EQ(log_.appends, appends);
    EXPECT_THAT(add(0xAB, 700).text, HasSubstr("this id has been used for another change"));
    EXPECT_EQ(bought(), 500);
}

// One operator reads an account, another operator tops it up, then the close of the first operator lands. The close
// carries the revision that it was decided on, so that an account is not closed just after a top-up.
TEST_F(LedgerChangeTest, RefusesACloseThatLostTheRace)
{
    ASSERT_EQ(create(1).code, ExitCode::Ok);
    log_.beforeAppend = [&] { put(9, 1, ledger::TopUp { desk, Tokens(5) }); };
    const auto lost = close(2);
    EXPECT_EQ(lost.code, ExitCode::Refused);
    EXPECT_THAT(lost.text, HasSubstr("the account was changed at offset 1 by another record"));
    EXPECT_EQ(close(3, Offset(0)).code, ExitCode::Refused);
    EXPECT_EQ(close(4).code, ExitCode::Ok);
    EXPECT_EQ(close(4).code, ExitCode::Ok) << "the same change, asked for again";
    EXPECT_EQ(add(5, 1).code, ExitCode::Refused);
}

TEST_F(LedgerChangeTest, SendsNothingWhenTheLogCannotBeRead)
{
    log_.unreadable = true;
    const auto report = add(1, 5);
    EXPECT_EQ(report.code, ExitCode::Unreachable);
    EXPECT_EQ(report.json["outcome"], "not_sent");
    EXPECT_EQ(log_.appends, 0);
    EXPECT_EQ(listBudgets(log_, 1, std::nullopt, {}).code, ExitCode::Unreachable);
}

// After old records have expired, a fold that simply starts at the oldest retained record misses bills and shows too
// many free tokens. Without a checkpoint from after the gap, budgets are not shown at all.
TEST_F(LedgerChangeTest, ContinuesFromACheckpointAndNeverAcrossAGap)
{
    ASSERT_EQ(create(1).code, ExitCode::Ok);
    ASSERT_EQ(add(2, 500).code, ExitCode::Ok);
    LedgerReader reader(log_, StreamName(stream));
    ASSERT_TRUE(reader.catchUp());
    const auto early = reader.fold().checkpoint();
    ASSERT_EQ(add(3, 20).code, ExitCode::Ok);
    put(9, 1, early);
    log_.oldest = 3;
    EXPECT_THAT(listBudgets(log_, 1, std::nullopt, {}).text, HasSubstr("none that is left restores them"));
    log_.oldest = 2;
    EXPECT_EQ(bought(), 520);
    EXPECT_EQ(add(2, 500).json["outcome"], "unknown") << "landed, but its record is gone";
    EXPECT_EQ(bought(), 520);
}

TEST_F(LedgerChangeTest, ListsAccountsBudgetsAndHolders)
{
    ASSERT_EQ(create(1).code, ExitCode::Ok);
    ASSERT_EQ(add(2, 500).code, ExitCode::Ok);
    const GrantId grant { Incarnation(7), 1 };
    put(7, 1, ledger::Draw { grant, desk, Tokens(200), Tokens(1), Incarnation(8) });
    put(7, 2, ledger::Bill { { 1, 2 }, grant, Tokens(30) });
    const auto budgets = listBudgets(log_, 1, club, { { "0000000000000007", "127.0.1.1:7400" } });
    EXPECT_EQ(budgets.text,
        "ACCOUNT         BUDGET  BOUGHT  BILLED  HELD  FREE\n"
        "regina-curling  desk    500     30      200   300\n"
        "\nheld by:\n"
        "ACCOUNT         BUDGET  HOLDER            VM              GRANT  STATE  HELD  BILLED  WITNESS\n"
        "regina-curling  desk    0000000000000007  127.0.1.1:7400  1      open   200   30      0000000000000008\n");
    EXPECT_EQ(budgets.json["budgets"][0]["grants"][0]["held"], 200);
    EXPECT_EQ(listAccounts(log_, 1).text,
        "ACCOUNT         STATE  REVISION  BUDGETS\nregina-curling  open   1         desk\n");
    EXPECT_EQ(listBudgets(log_, 1, AccountId("nobody"), {}).code, ExitCode::Refused);
}

} // namespace swiftlift::ctl
