#include "ledger/HolderFixture.h"
#include "ledger/LoanAnswerHistory.h"

namespace swiftlift::ledger {

using namespace std::chrono_literals;

/** Alice as lender to Bob, or as borrower from Carol. */
class HolderLoanTest : public HolderFixture {
protected:
    SendLoanGiven lendTo(Incarnation borrower, std::uint64_t loan, std::int64_t amount)
    {
        holder->onLoanAsk(borrower, loan, budget, tokens(amount), now, actions);
        EXPECT_TRUE(lastOf<SendLoanGiven>());
        return lastOf<SendLoanGiven>().value_or(SendLoanGiven {});
    }

    /** Alice, cut off from the log, asks Carol. */
    SendLoanAsk askCarol(std::int64_t amount)
    {
        environment.logReachable = false;
        environment.lenders = { carol };
        tick();
        EXPECT_FALSE(reserve(1, amount));
        EXPECT_TRUE(lastShortage.pending);
        return lastOf<SendLoanAsk>().value_or(SendLoanAsk {});
    }

    const GrantId carols { carol, 1 };
};

TEST_F(HolderLoanTest, CountsALoanUntilItIsDone)
{
    start(1000);
    have(1, 100);
    const SendLoanGiven given = lendTo(bob, 7, 50);
    EXPECT_EQ(holding().lent, given.amount);
    actions.clear();
    EXPECT_EQ(lendTo(bob, 7, 50).amount, given.amount);
    EXPECT_EQ(holding().lent, given.amount);
    holder->onLoanDone(bob, 7, tokens(20), now, actions);
    EXPECT_TRUE(lastOf<SendLoanDoneAcked>());
    EXPECT_EQ(holding().lent, tokens(0));
    EXPECT_EQ(holding().billed, tokens(20));
    actions.clear();
    holder->onLoanDone(bob, 7, tokens(20), now, actions);
    EXPECT_TRUE(lastOf<SendLoanDoneAcked>());
    EXPECT_EQ(holding().billed, tokens(20));
    holder->onLoanAsk(bob, 7, budget, tokens(50), now, actions);
    EXPECT_TRUE(lastOf<SendLoanDenied>());
}

// Symptom: tokens stay lent for good. Sequence: the borrower gives up; its LoanDone overtakes its LoanAsk. Cause: a
// lender that forgot the LoanDone would lend to one that no longer listens.
TEST_F(HolderLoanTest, DeniesAnAskThatWasGivenUpBefore)
{
    start(1000);
    have(1, 100);
    holder->onLoanDone(bob, 7, tokens(0), now, actions);
    EXPECT_TRUE(lastOf<SendLoanDoneAcked>());
    holder->onLoanAsk(bob, 7, budget, tokens(50), now, actions);
    EXPECT_TRUE(lastOf<SendLoanDenied>());
    EXPECT_EQ(holding().lent, tokens(0));
}

// Symptom: the fold refuses the borrower's bill, so an answered request is never paid for. Sequence: the borrower says
// that the loan is done, the lender closes the grant, the borrower's bill lands. Cause: messages overtake the log.
TEST_F(HolderLoanTest, ClosesOnlyAfterTheBorrowersBills)
{
    start(1000);
    const Reservation reservation = have(1, 100);
    const SendLoanGiven given = lendTo(bob, 1, 50);
    holder->settle(reservation, tokens(100), actions);
    environment.stopping = true;
    tick();
    holder->onLoanDone(bob, 1, tokens(50), now, actions);
    land();
    EXPECT_FALSE(holder->drained());
    EXPECT_GE(grant(alice, given.grant.number).amount, tokens(150));
    landAs(bob, Bill { keyOf(2), given.grant, tokens(30) });
    EXPECT_FALSE(lastEntry<CloseGrant>());
    landAs(bob, Bill { keyOf(3), given.grant, tokens(20) });
    EXPECT_EQ(count<Refused>(), 0U);
    land();
    EXPECT_TRUE(holder->drained());
    EXPECT_EQ(view().held, tokens(150));
}

TEST_F(HolderLoanTest, FreesABorrowersBillThatDidNotCount)
{
    start(1000);
    have(1, 100);
    const SendLoanGiven given = lendTo(bob, 1, 50);
    landAs(bob, Bill { keyOf(2), given.grant, tokens(10) });
    landAs(bob, Bill { keyOf(2), given.grant, tokens(10) });
    holder->onLoanDone(bob, 1, tokens(20), now, actions);
    EXPECT_EQ(holding().billed, tokens(10));
}

// Symptom: a caller has had its whole answer and is told "unknown".
// Sequence: in an outage a request runs on a loan; the lender dies, its witness closes the grant, the bill is refused.
// Cause: the lender's witness had not promised to leave the grant open.
TEST_F(HolderLoanTest, SpendsNoLoanInAnOutageThatTheLendersWitnessMayClose)
{
    start(1000);
    const SendLoanAsk ask = askCarol(100);
    holder->onLoanGiven(carol, ask.loan, budget, carols, ask.amount, now, actions, false);
    EXPECT_FALSE(reserve(1, 100));
}

TEST_F(HolderLoanTest, BorrowsSpendsAndGivesBack)
{
    start(1000);
    const SendLoanAsk ask = askCarol(100);
    holder->onLoanGiven(carol, ask.loan, budget, carols, ask.amount, now, actions, true);
    const std::optional<Reservation> reservation = reserve(1, 100);
    ASSERT_TRUE(reservation);
    EXPECT_EQ(reservation->grant, carols);
    EXPECT_TRUE(holder->isHolderOnly(*reservation));
    actions.clear();
    pass(10s);
    EXPECT_FALSE(lastOf<SendLoanDone>());
    holder->settle(*reservation, tokens(60), actions);
    ASSERT_TRUE(lastEntry<Bill>());
    EXPECT_EQ(lastEntry<Bill>()->grant, carols);
    ASSERT_TRUE(lastOf<SendLoanDone>());
    EXPECT_EQ(lastOf<SendLoanDone>()->billed, tokens(60));
    environment.lenders.clear();
    tick();
    EXPECT_FALSE(reserve(2, 10));
    actions.clear();
    pass(1s);
    EXPECT_TRUE(lastOf<SendLoanDone>());
    holder->onLoanDoneAcked(carol, ask.loan, now, actions);
    actions.clear();
    pass(10s);
    EXPECT_FALSE(lastOf<SendLoanDone>());
}

// Symptom: tokens stay lent for good. Sequence: the lender's answer comes after the borrower gave up. Cause: only the
// borrower can say that it will not spend them.
TEST_F(HolderLoanTest, AnswersALateLoanWithDone)
{
    start(1000);
    const SendLoanAsk ask = askCarol(100);
    pass(600ms);
    ASSERT_TRUE(lastOf<SendLoanDone>());
    EXPECT_EQ(lastOf<SendLoanDone>()->billed, tokens(0));
    holder->onLoanDoneAcked(carol, ask.loan, now, actions);
    actions.clear();
    holder->onLoanGiven(carol, ask.loan, budget, carols, ask.amount, now, actions);
    ASSERT_TRUE(lastOf<SendLoanDone>());
    EXPECT_FALSE(reserve(1, 100));
}

TEST_F(HolderLoanTest, AsksTheNextLenderWhenDenied)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_EQ(lastOf<SendLoanAsk>()->to, carol);
    holder->onLoanDenied(carol, lastOf<SendLoanAsk>()->loan, budget, tokens(0), now, actions);
    EXPECT_EQ(lastOf<SendLoanAsk>()->to, bob);
    holder->onLoanDenied(bob, lastOf<SendLoanAsk>()->loan, budget, tokens(0), now, actions);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_FALSE(lastShortage.pending);
    EXPECT_EQ(lastShortage.reason, ShortReason::BudgetElsewhere);
}

// Symptom: a VM that gets most of an account's requests refuses them in an outage, while ten others hold what nobody
// asks them for.
// Sequence: three lenders give a part each; the fourth is not asked before a second has gone by.
// Cause: a round of lenders was followed by a pause also when they had given.
TEST_F(HolderLoanTest, GoesOnBorrowingAsLongAsLendersGive)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    std::vector<Incarnation> asked;
    for (std::uint64_t key = 1; key <= 5; ++key) {
        actions.clear();
        EXPECT_FALSE(reserve(key, 100));
        const auto ask = lastOf<SendLoanAsk>();
        ASSERT_TRUE(ask);
        asked.push_back(ask->to);
        const GrantId grant { ask->to, static_cast<std::uint32_t>(key) };
        holder->onLoanGiven(ask->to, ask->loan, budget, grant, tokens(100), now, actions, true);
        EXPECT_TRUE(reserve(key, 100));
    }
    EXPECT_EQ(asked, (std::vector { carol, bob, carol, bob, carol }));
}

// Symptom: requests wait half a second for each lender that is out of reach, and are refused.
// Sequence: a failure domain is cut off; its VMs are still taken for alive; the first lender asked is one of them.
// Cause: the next lender was asked only once the first had been given up.
TEST_F(HolderLoanTest, AsksAnotherBesideALenderThatIsSlow)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_EQ(lastOf<SendLoanAsk>()->to, carol);
    pass(20ms);
    EXPECT_EQ(lastOf<SendLoanAsk>()->to, carol);
    pass(50ms);
    ASSERT_EQ(lastOf<SendLoanAsk>()->to, bob);
    const std::uint64_t loan = lastOf<SendLoanAsk>()->loan;
    holder->onLoanGiven(bob, loan, budget, GrantId { bob, 1 }, tokens(100), now, actions, true);
    EXPECT_TRUE(reserve(1, 100));
}

// Symptom: for a second and more after the log is lost nobody lends, though no witness of this fleet closes grants.
// Sequence: the log goes out of reach; a peer asks for a loan from a witnessed grant.
// Cause: a promise not to close was waited for that nobody has to give.
TEST_F(HolderLoanTest, LendsAndSpendsAtOnceWhereWitnessesOnlySeal)
{
    environment.witness = bob;
    startSealOnly(1000);
    have(1, 100);
    environment.logReachable = false;
    tick();
    acknowledge();
    EXPECT_FALSE(lendTo(carol, 7, 50).holderOnly);

    environment.lenders = { carol };
    tick();
    EXPECT_FALSE(reserve(2, 900));
    const auto ask = lastOf<SendLoanAsk>();
    ASSERT_TRUE(ask);
    holder->onLoanGiven(carol, ask->loan, budget, carols, tokens(900), now, actions, false);
    EXPECT_TRUE(reserve(2, 900));
}

// Symptom: 90 loans a second of 1 to 800 tokens go to and fro, and no request is covered by them.
// Sequence: an outage has used up most of what is held; a peer asks for a loan; what is left here fits no request.
// Cause: a lender gave whatever it had.
TEST_F(HolderLoanTest, DeniesWhatNoRequestWouldFit)
{
    start(1000);
    const Reservation reservation = have(1, 320);
    environment.logReachable = false;
    tick();
    const Tokens left = holding().amount - holding().reserved;
    have(2, left.value() - 10);
    actions.clear();
    holder->onLoanAsk(bob, 7, budget, tokens(400), now, actions);
    EXPECT_FALSE(lastOf<SendLoanGiven>());
    EXPECT_TRUE(lastOf<SendLoanDenied>());
    holder->settle(reservation, tokens(0), actions);
}

TEST(LoanLedgerTest, ForgetsFinishedLoansOnly)
{
    internal::LoanAnswerHistory ledger;
    const internal::LoanAnswer open { GrantId { Incarnation { 1 }, 1 }, Tokens { 5 }, {}, false };
    ledger.record(Incarnation { 1 }, 1, open);
    for (std::uint64_t loan = 2; loan <= 300; ++loan)
        ledger.record(Incarnation { 1 }, loan, {});
    for (std::uint64_t borrower = 2; borrower <= 2000; ++borrower)
        ledger.record(Incarnation { borrower }, 1, {});
    EXPECT_EQ(ledger.find(Incarnation { 1 }, 1).value().amount, Tokens { 5 });
    EXPECT_TRUE(ledger.find(Incarnation { 1 }, 2).value().done);
    EXPECT_FALSE(ledger.find(Incarnation { 2 }, 1));
    EXPECT_TRUE(ledger.find(Incarnation { 2000 }, 1));
}

// Symptom: in a long outage each caller is held for a fifth of a second, and refused.
// Events: all lenders are asked each second, and none has anything to lend.
// Cause: an ask in flight was always waited for.
TEST_F(HolderLoanTest, LendersThatHadNothingAreNotWaitedFor)
{
    start(1000);
    environment.logReachable = false;
    environment.lenders = { bob };
    tick();
    EXPECT_FALSE(reserve(1, 100));
    const auto ask = lastOf<SendLoanAsk>();
    ASSERT_TRUE(ask);
    EXPECT_TRUE(lastShortage.pending);
    holder->onLoanDenied(bob, ask->loan, budget, tokens(0), now, actions);
    holder->withdraw(budget, keyOf(1), now);
    pass(std::chrono::milliseconds { 1100 });
    actions.clear();
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(lastOf<SendLoanAsk>()) << "asked all the same, for those who come later";
    EXPECT_FALSE(lastShortage.pending);
}

} // namespace swiftlift::ledger
