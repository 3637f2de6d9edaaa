#include "ledger/HolderFixture.h"
#include "ledger/LoanAnswerHistory.h"

namespace swiftlift::ledger {

using namespace std::chrono_literals;

/** The holder `alice` as lender to `bob` or as borrower from `carol`. */
class HolderLoanTest : public HolderFixture {
protected:
    SendLoanGiven lendTo(Incarnation borrower, std::uint64_t loan, std::int64_t amount)
    {
        holder->onLoanAsk(borrower, loan, budget, tokens(amount), now, actions);
        EXPECT_TRUE(lastAction<SendLoanGiven>());
        return lastAction<SendLoanGiven>().value_or(SendLoanGiven {});
    }

    /** Makes the log unreachable for `alice`, so that `alice` requests a loan from `carol`. */
    SendLoanAsk requestLoanFromCarol(std::int64_t amount)
    {
        environment.logReachable = false;
        environment.lenders = { carol };
        tick();
        EXPECT_FALSE(reserve(1, amount));
        EXPECT_TRUE(lastShortage.pending);
        return lastAction<SendLoanAsk>().value_or(SendLoanAsk {});
    }

    const GrantId carolsGrant { carol, 1 };
};

TEST_F(HolderLoanTest, CountsALoanUntilItIsDone)
{
    start(1000);
    reserveWithDraw(1, 100);
    const SendLoanGiven loanGiven = lendTo(bob, 7, 50);
    EXPECT_EQ(firstHolding().lent, loanGiven.amount);
    actions.clear();
    EXPECT_EQ(lendTo(bob, 7, 50).amount, loanGiven.amount);
    EXPECT_EQ(firstHolding().lent, loanGiven.amount);
    holder->onLoanDone(bob, 7, tokens(20), now, actions);
    EXPECT_TRUE(lastAction<SendLoanDoneAcked>());
    EXPECT_EQ(firstHolding().lent, tokens(0));
    EXPECT_EQ(firstHolding().billed, tokens(20));
    actions.clear();
    holder->onLoanDone(bob, 7, tokens(20), now, actions);
    EXPECT_TRUE(lastAction<SendLoanDoneAcked>());
    EXPECT_EQ(firstHolding().billed, tokens(20));
    holder->onLoanAsk(bob, 7, budget, tokens(50), now, actions);
    EXPECT_TRUE(lastAction<SendLoanDenied>());
}

// Failure: tokens stay lent forever, because a borrower's LoanDone for an abandoned request overtakes the request, and
// the lender does not remember the LoanDone.
TEST_F(HolderLoanTest, DeniesALoanRequestAbandonedBefore)
{
    start(1000);
    reserveWithDraw(1, 100);
    holder->onLoanDone(bob, 7, tokens(0), now, actions);
    EXPECT_TRUE(lastAction<SendLoanDoneAcked>());
    holder->onLoanAsk(bob, 7, budget, tokens(50), now, actions);
    EXPECT_TRUE(lastAction<SendLoanDenied>());
    EXPECT_EQ(firstHolding().lent, tokens(0));
}

// Failure: the fold refuses a borrower's bill, so that an answered request is never charged, because LoanDone overtakes
// the bill in the log and the lender closes the grant too early.
TEST_F(HolderLoanTest, ClosesOnlyAfterTheBorrowersBills)
{
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    const SendLoanGiven loanGiven = lendTo(bob, 1, 50);
    holder->settle(reservation, tokens(100), actions);
    environment.stopping = true;
    tick();
    holder->onLoanDone(bob, 1, tokens(50), now, actions);
    land();
    EXPECT_FALSE(holder->drained());
    EXPECT_GE(grant(alice, loanGiven.grant.number).amount, tokens(150));
    landAs(bob, Bill { keyOf(2), loanGiven.grant, tokens(30) });
    EXPECT_FALSE(lastEntry<CloseGrant>());
    landAs(bob, Bill { keyOf(3), loanGiven.grant, tokens(20) });
    EXPECT_EQ(count<Refused>(), 0U);
    land();
    EXPECT_TRUE(holder->drained());
    EXPECT_EQ(view().held, tokens(150));
}

TEST_F(HolderLoanTest, FreesABorrowersBillThatDidNotCount)
{
    start(1000);
    reserveWithDraw(1, 100);
    const SendLoanGiven loanGiven = lendTo(bob, 1, 50);
    landAs(bob, Bill { keyOf(2), loanGiven.grant, tokens(10) });
    landAs(bob, Bill { keyOf(2), loanGiven.grant, tokens(10) });
    holder->onLoanDone(bob, 1, tokens(20), now, actions);
    EXPECT_EQ(firstHolding().billed, tokens(10));
}

// Failure: a caller receives its whole answer and then the result "unknown". In an outage the request ran on a loan,
// the lender failed, and its witness closed the grant, which was not holder-only.
TEST_F(HolderLoanTest, SpendsNoLoanInAnOutageThatTheLendersWitnessMayClose)
{
    start(1000);
    const SendLoanAsk request = requestLoanFromCarol(100);
    holder->onLoanGiven(carol, request.loan, budget, carolsGrant, request.amount, now, actions, false);
    EXPECT_FALSE(reserve(1, 100));
}

TEST_F(HolderLoanTest, BorrowsSpendsAndReturns)
{
    start(1000);
    const SendLoanAsk request = requestLoanFromCarol(100);
    holder->onLoanGiven(carol, request.loan, budget, carolsGrant, request.amount, now, actions, true);
    const std::optional<Reservation> reservation = reserve(1, 100);
    ASSERT_TRUE(reservation);
    EXPECT_EQ(reservation->grant, carolsGrant);
    EXPECT_TRUE(holder->isHolderOnly(*reservation));
    actions.clear();
    advance(10s);
    EXPECT_FALSE(lastAction<SendLoanDone>());
    holder->settle(*reservation, tokens(60), actions);
    ASSERT_TRUE(lastEntry<Bill>());
    EXPECT_EQ(lastEntry<Bill>()->grant, carolsGrant);
    ASSERT_TRUE(lastAction<SendLoanDone>());
    EXPECT_EQ(lastAction<SendLoanDone>()->billed, tokens(60));
    environment.lenders.clear();
    tick();
    EXPECT_FALSE(reserve(2, 10));
    actions.clear();
    advance(1s);
    EXPECT_TRUE(lastAction<SendLoanDone>());
    holder->onLoanDoneAcked(carol, request.loan, now, actions);
    actions.clear();
    advance(10s);
    EXPECT_FALSE(lastAction<SendLoanDone>());
}

// Failure: tokens stay lent forever, because the lender's answer arrives after the borrower has abandoned the request,
// and only the borrower can return them.
TEST_F(HolderLoanTest, AnswersALateLoanWithDone)
{
    start(1000);
    const SendLoanAsk request = requestLoanFromCarol(100);
    advance(600ms);
    ASSERT_TRUE(lastAction<SendLoanDone>());
    EXPECT_EQ(lastAction<SendLoanDone>()->billed, tokens(0));
    holder->onLoanDoneAcked(carol, request.loan, now, actions);
    actions.clear();
    holder->onLoanGiven(carol, request.loan, budget, carolsGrant, request.amount, now, actions);
    ASSERT_TRUE(lastAction<SendLoanDone>());
    EXPECT_FALSE(reserve(1, 100));
}

TEST_F(HolderLoanTest, AsksTheNextLenderWhenDenied)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_EQ(lastAction<SendLoanAsk>()->to, carol);
    holder->onLoanDenied(carol, lastAction<SendLoanAsk>()->loan, budget, tokens(0), now, actions);
    EXPECT_EQ(lastAction<SendLoanAsk>()->to, bob);
    holder->onLoanDenied(bob, lastAction<SendLoanAsk>()->loan, budget, tokens(0), now, actions);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_FALSE(lastShortage.pending);
    EXPECT_EQ(lastShortage.reason, ShortReason::TokensHeldElsewhere);
}

// Failure: in an outage, a VM that gets most of an account's requests refuses them while ten others hold unused tokens.
// After loans from three lenders, the fourth was asked only a second later, because the pause after a round of lenders
// also applied when they had lent.
TEST_F(HolderLoanTest, KeepsBorrowingWhileLendersLend)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    std::vector<Incarnation> asked;
    for (std::uint64_t key = 1; key <= 5; ++key) {
        actions.clear();
        EXPECT_FALSE(reserve(key, 100));
        const auto request = lastAction<SendLoanAsk>();
        ASSERT_TRUE(request);
        asked.push_back(request->to);
        const GrantId grant { request->to, static_cast<std::uint32_t>(key) };
        holder->onLoanGiven(request->to, request->loan, budget, grant, tokens(100), now, actions, true);
        EXPECT_TRUE(reserve(key, 100));
    }
    EXPECT_EQ(asked, (std::vector { carol, bob, carol, bob, carol }));
}

// Failure: requests wait half a second for each unreachable lender and are refused. The VMs of an unreachable failure
// domain still counted as alive, and the next lender was asked only after the request to the first was abandoned.
TEST_F(HolderLoanTest, AsksAnotherLenderWhenOneIsSlow)
{
    start(1000);
    environment.lenders = { carol, bob };
    environment.logReachable = false;
    tick();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_EQ(lastAction<SendLoanAsk>()->to, carol);
    advance(20ms);
    EXPECT_EQ(lastAction<SendLoanAsk>()->to, carol);
    advance(50ms);
    ASSERT_EQ(lastAction<SendLoanAsk>()->to, bob);
    const std::uint64_t loan = lastAction<SendLoanAsk>()->loan;
    holder->onLoanGiven(bob, loan, budget, GrantId { bob, 1 }, tokens(100), now, actions, true);
    EXPECT_TRUE(reserve(1, 100));
}

// Failure: for more than a second after the log became unreachable no holder lends from witnessed grants, because the
// lender waits for its grant to become holder-only, although no witness of this fleet closes grants.
TEST_F(HolderLoanTest, LendsAndSpendsAtOnceWhereWitnessesOnlySeal)
{
    environment.witness = bob;
    startSealOnly(1000);
    reserveWithDraw(1, 100);
    environment.logReachable = false;
    tick();
    acknowledgeRaise();
    EXPECT_FALSE(lendTo(carol, 7, 50).holderOnly);

    environment.lenders = { carol };
    tick();
    EXPECT_FALSE(reserve(2, 900));
    const auto request = lastAction<SendLoanAsk>();
    ASSERT_TRUE(request);
    holder->onLoanGiven(carol, request->loan, budget, carolsGrant, tokens(900), now, actions, false);
    EXPECT_TRUE(reserve(2, 900));
}

// Failure: 90 loans per second of 1 to 800 tokens are lent and returned without covering any request. In a long outage
// the lenders had little left and lent all of it, although it was too small for any request.
TEST_F(HolderLoanTest, DeniesLoansTooSmallForAnyRequest)
{
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 320);
    environment.logReachable = false;
    tick();
    const Tokens left = firstHolding().amount - firstHolding().reserved;
    reserveWithDraw(2, left.value() - 10);
    actions.clear();
    holder->onLoanAsk(bob, 7, budget, tokens(400), now, actions);
    EXPECT_FALSE(lastAction<SendLoanGiven>());
    EXPECT_TRUE(lastAction<SendLoanDenied>());
    holder->settle(reservation, tokens(0), actions);
}

TEST(LoanAnswerHistoryTest, DropsOnlyFinishedLoans)
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

// Failure: in a long outage each caller waits a fifth of a second and is refused. All lenders were asked every second
// without having anything to lend, and requests always waited for a loan request in flight.
TEST_F(HolderLoanTest, DoesNotWaitForLendersAfterAFailedRound)
{
    start(1000);
    environment.logReachable = false;
    environment.lenders = { bob };
    tick();
    EXPECT_FALSE(reserve(1, 100));
    const auto request = lastAction<SendLoanAsk>();
    ASSERT_TRUE(request);
    EXPECT_TRUE(lastShortage.pending);
    holder->onLoanDenied(bob, request->loan, budget, tokens(0), now, actions);
    holder->withdraw(budget, keyOf(1), now);
    advance(std::chrono::milliseconds { 1100 });
    actions.clear();
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(lastAction<SendLoanAsk>()) << "a lender is asked all the same, for requests that come later";
    EXPECT_FALSE(lastShortage.pending);
}

} // namespace swiftlift::ledger
