#include <iostream>

#include "ledger/HolderFixture.h"

namespace swiftlift::ledger {

using namespace std::chrono_literals;

using HolderTest = HolderFixture;

TEST_F(HolderTest, SpendsNothingOfADrawInFlight)
{
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(lastShortage.pending);
    EXPECT_FALSE(reserve(1, 100));
    land();
    EXPECT_TRUE(lastOf<TokensAvailable>());
    EXPECT_TRUE(reserve(1, 100));
}

TEST_F(HolderTest, HasOneDrawOfABudgetInFlight)
{
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(lastEntry<Draw>());
    actions.clear();
    EXPECT_FALSE(reserve(2, 700));
    EXPECT_FALSE(lastEntry<Draw>());
}

TEST_F(HolderTest, StaysBelowTheAcknowledgedCeiling)
{
    environment.witness = bob;
    start(10000);
    EXPECT_FALSE(reserve(1, 100));
    land();
    EXPECT_FALSE(reserve(1, 100));
    ASSERT_TRUE(lastOf<SendRaise>());
    const GrantId grant = lastOf<SendRaise>()->ceilings.front().grant;
    holder->onCeilingsAcked(carol, { { grant, tokens(1000) } }, now, actions);
    EXPECT_FALSE(reserve(1, 100));
    holder->onCeilingsAcked(bob, { { grant, tokens(150) } }, now, actions);
    EXPECT_TRUE(reserve(1, 100));
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(reserve(3, 50));
}

// Symptom: a request is refused though its raise was sent. Sequence: the raise, or its answer, is lost. Cause: nothing
// but the holder's own repeat would bring it again.
TEST_F(HolderTest, RepeatsARaise)
{
    environment.witness = bob;
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    land();
    actions.clear();
    pass(100ms);
    EXPECT_TRUE(lastOf<SendRaise>());
}

// Symptom: a holder passes the ceiling that its new witness seals. Sequence: a raise is under way, the witness is
// changed, the old witness's answer comes late. Cause: the old one's word no longer binds the seal.
TEST_F(HolderTest, TakesNoRaiseOfAnOldWitness)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = have(1, 100);
    const Tokens ceiling = holding().ceiling;
    environment.witness = carol;
    tick();
    pass(4s);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    EXPECT_EQ(lastEntry<ChangeWitness>()->ceiling, ceiling);
    holder->onCeilingsAcked(bob, { { reservation.grant, tokens(900) } }, now, actions);
    EXPECT_EQ(holding().ceiling, ceiling);
    land();
    holder->onCeilingsAcked(bob, { { reservation.grant, tokens(900) } }, now, actions);
    EXPECT_EQ(holding().ceiling, ceiling);
    holder->onCeilingsAcked(carol, { { reservation.grant, tokens(150) } }, now, actions);
    EXPECT_EQ(holding().ceiling, std::max(ceiling, tokens(150)));
}

// Symptom: a cut-off holder refuses though its grant has plenty. Sequence: its witness dies, then the log comes back.
// Cause: the ceiling would stay where the dead witness left it.
TEST_F(HolderTest, NamesAnotherWitnessWhenOneIsSilent)
{
    environment.witness = bob;
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    land();
    environment.witness.reset();
    pass(1100ms);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    land();
    EXPECT_TRUE(reserve(1, 100));
}

// Symptom: a holder is above the sealed ceiling. Sequence: a grant without a witness gets one, which seals at the
// ceiling of the change. Cause: until then the whole grant was spendable.
TEST_F(HolderTest, IsBoundAsSoonAsItNamesItsFirstWitness)
{
    start(10000);
    have(1, 100);
    environment.witness = bob;
    tick();
    pass(4s);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    const Tokens ceiling = lastEntry<ChangeWitness>()->ceiling;
    EXPECT_LT(ceiling, holding().amount);
    EXPECT_EQ(holding().ceiling, ceiling);
    land();
    EXPECT_EQ(holding().ceiling, ceiling);
}

TEST_F(HolderTest, SettlesAndClosesASealedGrant)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = have(1, 100);
    landAs(bob, Seal { reservation.grant, bob, holding().ceiling });
    EXPECT_TRUE(lastOf<Retired>());
    EXPECT_FALSE(reserve(2, 1));
    EXPECT_FALSE(lastEntry<CloseGrant>());
    holder->settle(reservation, tokens(60), actions);
    land();
    EXPECT_TRUE(holder->drained());
    EXPECT_EQ(view().billed, tokens(60));
    EXPECT_EQ(view().held, tokens(60));
}

TEST_F(HolderTest, FreesABillThatDidNotCount)
{
    start(100);
    const Reservation reservation = have(1, 100);
    landAs(bob, Draw { grantOf(bob, 1), budget, {}, {}, {} });
    landAs(bob, Bill { reservation.key, reservation.grant, tokens(0) });
    holder->settle(reservation, tokens(80), actions);
    EXPECT_FALSE(reserve(2, 100));
    land();
    EXPECT_TRUE(reserve(2, 100));
}

TEST_F(HolderTest, GivesBackWhatOthersLackAndIsCautiousThen)
{
    start(1000);
    const Reservation reservation = have(1, 100);
    holder->settle(reservation, tokens(100), actions);
    land();
    actions.clear();
    landAs(bob, Draw { grantOf(bob, 1), budget, tokens(900), tokens(900), {} });
    EXPECT_TRUE(lastEntry<CloseGrant>()) << "all that is free here is less than what bob lacks";
    land();
    EXPECT_EQ(fold.budget(budget)->available(), tokens(900));
    EXPECT_FALSE(lastEntry<Draw>());
}

TEST_F(HolderTest, GivesBackNoMoreThanOthersLack)
{
    start(1000);
    const Reservation reservation = have(1, 100);
    holder->settle(reservation, tokens(100), actions);
    land();
    const Tokens before = holding().amount;
    const Tokens available = fold.budget(budget)->available();
    actions.clear();
    landAs(bob, Draw { grantOf(bob, 1), budget, available + tokens(10), available + tokens(10), {} });
    ASSERT_TRUE(lastEntry<Return>());
    EXPECT_EQ(lastEntry<Return>()->amount, tokens(10));
    EXPECT_EQ(holding().amount, before - tokens(10));
}

// Symptom: refused with 60 free here, 40 there. Sequence: two grants have remainders too small each. Cause: a request
// is covered by one grant.
TEST_F(HolderTest, GathersRemaindersIntoOneGrant)
{
    start(200);
    const Reservation first = have(1, 90);
    const Reservation second = have(2, 90);
    holder->settle(first, tokens(20), actions);
    holder->settle(second, tokens(20), actions);
    EXPECT_NO_FATAL_FAILURE(have(3, 150));
}

TEST_F(HolderTest, ClosesAfterTheLastBillWhenStopping)
{
    start(1000);
    const Reservation reservation = have(1, 100);
    environment.stopping = true;
    tick();
    land();
    EXPECT_FALSE(holder->drained());
    EXPECT_EQ(holding().amount, tokens(100));
    holder->settle(reservation, tokens(70), actions);
    ASSERT_TRUE(lastEntry<CloseGrant>());
    EXPECT_FALSE(holder->drained());
    land();
    EXPECT_TRUE(holder->drained());
    EXPECT_EQ(view().held, tokens(70));
}

TEST_F(HolderTest, TellsExhaustedFromElsewhere)
{
    start(100);
    EXPECT_FALSE(reserve(1, 101));
    EXPECT_EQ(lastShortage.reason, ShortReason::BudgetExhausted);
    EXPECT_FALSE(lastShortage.pending);
    landAs(bob, Draw { grantOf(bob, 1), budget, tokens(100), {}, {} });
    EXPECT_FALSE(reserve(2, 50));
    EXPECT_EQ(lastShortage.reason, ShortReason::BudgetElsewhere);
    EXPECT_TRUE(lastShortage.pending);
    now += 1900ms;
    EXPECT_FALSE(reserve(2, 50));
    now += 1900ms;
    land();
    actions.clear();
    EXPECT_FALSE(reserve(2, 50));
    EXPECT_FALSE(lastShortage.pending && !lastEntry<Draw>());
}

TEST_F(HolderTest, AsksForTheWholeGrantWhileTheLogIsUnreachable)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = have(1, 100);
    environment.logReachable = false;
    pass(1s);
    ASSERT_TRUE(lastOf<SendRaise>());
    EXPECT_EQ(lastOf<SendRaise>()->ceilings.front().ceiling, holding().amount);
    EXPECT_EQ(reservation.grant, holding().grant);
}

// Symptom: one holder draws half of what is left of a budget, again and again, and hardly any of it is ever billed.
// Events: money is short for two seconds; 40 callers are refused and come back; then the money comes.
// Cause: each refused try counted as demand and went on waiting for two more seconds.
TEST_F(HolderTest, ARefusedRequestIsNoDemandAndWaitsNoMore)
{
    startSealOnly(10'000'000);
    environment.logReachable = false;
    tick();
    for (std::uint64_t key = 1; key <= 40; ++key) {
        EXPECT_FALSE(reserve(key, 10'000));
        holder->withdraw(budget, keyOf(key), now);
    }
    pass(std::chrono::milliseconds { 100 });
    environment.logReachable = true;
    tick();
    EXPECT_FALSE(lastEntry<Draw>());
    EXPECT_FALSE(reserve(41, 10'000));
    ASSERT_TRUE(lastEntry<Draw>());
    EXPECT_LT(lastEntry<Draw>()->wanted, tokens(100'000));
}

// Symptom: at the end of a budget each caller is held for nearly half a second, and refused.
// Events: what is left is held by routers that have died; each second the others are told that money is short here.
// Cause: every such signal was waited for, though none of them was ever answered.
TEST_F(HolderTest, SignalsThatNobodyAnswersAreNotWaitedFor)
{
    start(1000);
    draw(bob, 1, 900);
    const auto ask = [&](std::uint64_t key) {
        EXPECT_FALSE(reserve(key, 500));
        land();
        EXPECT_FALSE(reserve(key, 500));
        const bool pending = lastShortage.pending;
        holder->withdraw(budget, keyOf(key), now);
        return pending;
    };
    EXPECT_TRUE(ask(1)) << "the first waits for an answer";
    pass(std::chrono::milliseconds { 1100 });
    EXPECT_FALSE(ask(2));
    pass(std::chrono::milliseconds { 1100 });
    EXPECT_FALSE(ask(3));
    take(bob, Return { grantOf(bob, 1), tokens(800) });
    pass(std::chrono::milliseconds { 1100 });
    (void)have(4, 500);
    pass(std::chrono::milliseconds { 1100 });
    EXPECT_TRUE(ask(5)) << "there was an answer since";
}

// Symptom: in a few seconds after an outage one router draws half of a budget, half of the rest, and so on, and refuses
// its callers all the while.
// Events: the witness reads the log late and answers no raise; requests wait.
// Cause: what the witness held up did not count as held, and each new grant named the same witness.
TEST_F(HolderTest, ASilentWitnessIsNoReasonToDrawTheBudget)
{
    PolicySettings figures;
    figures.witnessesClose = false;
    figures.watermarks = Watermarks { 8, 10 };
    start(10'000'000, "grants", figures);
    environment.witness = bob;
    pass(std::chrono::seconds { 4 });
    std::uint64_t key = 0;
    int served = 0;
    for (int step = 0; step < 40; ++step) {
        pass(std::chrono::milliseconds { 50 });
        served += reserve(++key, 1'000) ? 1 : 0;
        land();
    }
    const auto view = fold.budget(budget);
    ASSERT_TRUE(view);
    EXPECT_LT(view->held, tokens(2'000'000)) << "20,000 tokens a second are asked for";
    EXPECT_GT(served, 15) << "once the witness is known to be silent, grants name nobody";
}

// Symptom: after an outage a hundred callers are each held for 600 ms and refused then.
// Events: a draw stands behind the bills of the outage and is not read back for a second.
// Cause: every request waited for it, however late it was already.
TEST_F(HolderTest, AnOverdueDrawIsNotWaitedFor)
{
    startSealOnly(10'000'000);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(lastShortage.pending);
    pass(std::chrono::milliseconds { 150 });
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(lastShortage.pending);
    pass(std::chrono::milliseconds { 100 });
    EXPECT_FALSE(reserve(3, 100));
    EXPECT_FALSE(lastShortage.pending) << "twice as late as draws usually are";
    land();
    acknowledge();
    EXPECT_TRUE(reserve(4, 100));
}

// Symptom: a router that has a hundred requests in line falls behind with the ledger, and refuses them all.
// Events: each of them asks again with each bill that is read.
// Cause: each repeat did the whole work of the budget, over all that waits.
TEST_F(HolderTest, ARepeatEmitsNothingNew)
{
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    actions.clear();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(actions.empty());
}

TEST_F(HolderTest, TellsTheLargestAmountThatOneRequestCouldHave)
{
    start(1000);
    EXPECT_EQ(holder->spendable(budget), tokens(0));
    const Reservation reservation = have(1, 100);
    const Tokens left = holder->spendable(budget);
    const bool fits = left == tokens(0) || reserve(2, left.value()).has_value();
    EXPECT_TRUE(fits);
    EXPECT_FALSE(reserve(3, holder->spendable(budget).value() + 1));
    holder->release(reservation, actions);
    EXPECT_GE(holder->spendable(budget), tokens(100));
}

TEST_F(HolderTest, StaticSplitDrawsItsPartOnce)
{
    start(800, "static_split");
    EXPECT_FALSE(reserve(1, 60));
    land();
    EXPECT_EQ(holding().amount, tokens(100));
    EXPECT_TRUE(reserve(1, 60));
    EXPECT_FALSE(reserve(2, 60));
    EXPECT_FALSE(lastEntry<Draw>());
    EXPECT_FALSE(lastShortage.pending);
}

TEST_F(HolderTest, AppendPerRequestGivesTheRestBackAtOnce)
{
    start(1000, "append_per_request");
    const Reservation reservation = have(1, 100);
    EXPECT_EQ(holding().amount, tokens(100));
    holder->settle(reservation, tokens(30), actions);
    land();
    EXPECT_EQ(view().held, tokens(30));
    EXPECT_TRUE(holder->drained());
}

// 10 requests of 440 tokens a second, of which 300 are billed, for two minutes: a draw must cover many requests.
TEST_F(HolderTest, SteadyDemandDrawsAndRaisesSeldom)
{
    environment.witness = bob;
    start(10'000'000);
    constexpr std::uint64_t requests = 1200;
    std::size_t draws = 0;
    std::size_t raises = 0;
    std::size_t refused = 0;
    std::optional<Reservation> running;
    for (std::uint64_t key = 1; key <= requests; ++key) {
        if (running)
            holder->settle(*running, tokens(300), actions);
        running = reserve(key, 440);
        refused += running ? 0 : 1;
        pass(100ms);
        draws += lastEntry<Draw>() ? 1 : 0;
        raises += lastOf<SendRaise>() ? 1 : 0;
        land();
        acknowledge();
        actions.clear();
    }
    std::cout << draws << " draws, " << raises << " raises, " << refused << " short of " << requests << " requests\n";
    EXPECT_LE(refused, 2U);
    EXPECT_LE(draws, 15U);
    EXPECT_LE(raises, 200U);
    EXPECT_LE(holder->holdings().size(), 3U);
}

TEST(HoldingPolicyTest, UnknownNameIsNoPolicy)
{
    EXPECT_EQ(makePolicy("fixed_chunks", {}), nullptr);
    EXPECT_NE(makePolicy("grants", {}), nullptr);
}

TEST(HoldingPolicyTest, DrawsNoMoreAheadThanAFairShare)
{
    const auto policy = makePolicy("grants", {});
    BudgetSituation situation;
    situation.demand = 100;
    situation.available = Tokens { 1000 };
    situation.sharers = 5;
    situation.largest = Tokens { 50 };
    EXPECT_EQ(policy->draw(situation).value().wanted, Tokens { 100 });
    situation.need = situation.smallestNeed = situation.waiting = Tokens { 400 };
    EXPECT_EQ(policy->draw(situation).value().wanted, Tokens { 400 });
}

} // namespace swiftlift::ledger
