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
            patience_ = std::make_unique<test::CountedPatience>(3);
            return { log_, *patience_, id };
        }

        std::unique_ptr<test::CountedPatience> patience_;
    };

} // namespace

TEST_F(LedgerChangeTest, CreatesAnAccountOnceAndTellsTheSecondOperator)
{
    EXPECT_EQ(create(1).code, ExitCode::Ok);
    const auto second = create(2);
    EXPECT_EQ(second.code, ExitCode::Refused);
    EXPECT_EQ(second.text, "refused at ledger-0 offset 1: the account exists already\n");
    EXPECT_EQ(second.json["outcome"], "refused");
}

// Symptom: a budget shows twice the tokens that were paid for.
// Sequence: the append of a top-up takes effect, its answer is lost, and the append is made again.
// Cause: a repeat that the fold cannot tell from a second top-up. The repeat carries the same author and sequence.
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

// Symptom: as above. Sequence: the append lands long after the command gave up; the operator makes it again, as told,
// with the id that was printed. Cause: a new author for the second run.
TEST_F(LedgerChangeTest, CountsATopUpOnceWhenItIsAskedForAgainWithItsId)
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

// Symptom: an operator closes an account that a colleague has just paid into.
// Sequence: one reads the account, the other tops it up, the first one's close lands.
// Cause: a close that does not say which state of the account it was decided on.
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

// Symptom: budgets show more free tokens than there are. Sequence: old records expire; a reader starts at the oldest.
// Cause: a fold over a prefix with a hole. Without a checkpoint of after the hole, nothing is shown.
TEST_F(LedgerChangeTest, ReadsOnFromACheckpointAndNeverOverAHole)
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
