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
    EXPECT_TRUE(lastAction<TokensAvailable>());
    EXPECT_TRUE(reserve(1, 100));
}

TEST_F(HolderTest, AllowsOneDrawPerBudgetInFlight)
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
    ASSERT_TRUE(lastAction<SendRaise>());
    const GrantId grant = lastAction<SendRaise>()->ceilings.front().grant;
    holder->onCeilingsAcked(carol, { { grant, tokens(1000) } }, now, actions);
    EXPECT_FALSE(reserve(1, 100));
    holder->onCeilingsAcked(bob, { { grant, tokens(150) } }, now, actions);
    EXPECT_TRUE(reserve(1, 100));
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(reserve(3, 50));
}

// Failure: a request is refused because the raise of its ceiling, or the answer, was lost and never repeated.
TEST_F(HolderTest, RetriesAnUnansweredRaise)
{
    environment.witness = bob;
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    land();
    actions.clear();
    advance(100ms);
    EXPECT_TRUE(lastAction<SendRaise>());
}

// Failure: a holder exceeds the ceiling at which its new witness seals, because it accepts an acknowledgement of the
// old witness that arrives after the change of witness.
TEST_F(HolderTest, IgnoresAcknowledgementsOfTheOldWitness)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    const Tokens ceiling = firstHolding().ceiling;
    environment.witness = carol;
    tick();
    advance(4s);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    EXPECT_EQ(lastEntry<ChangeWitness>()->ceiling, ceiling);
    holder->onCeilingsAcked(bob, { { reservation.grant, tokens(900) } }, now, actions);
    EXPECT_EQ(firstHolding().ceiling, ceiling);
    land();
    holder->onCeilingsAcked(bob, { { reservation.grant, tokens(900) } }, now, actions);
    EXPECT_EQ(firstHolding().ceiling, ceiling);
    holder->onCeilingsAcked(carol, { { reservation.grant, tokens(150) } }, now, actions);
    EXPECT_EQ(firstHolding().ceiling, std::max(ceiling, tokens(150)));
}

// Failure: a holder without the log refuses requests although its grant has enough tokens. Its witness failed, and
// after the log was reachable again the ceiling stayed where the failed witness had left it.
TEST_F(HolderTest, ReplacesAWitnessThatDoesNotAnswer)
{
    environment.witness = bob;
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    land();
    environment.witness.reset();
    advance(1100ms);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    land();
    EXPECT_TRUE(reserve(1, 100));
}

// Failure: a holder exceeds the sealed ceiling, because it goes on spending the whole of an unwitnessed grant after it
// has named a first witness, which then seals at the ceiling of the change.
TEST_F(HolderTest, CeilingAppliesOnceTheFirstWitnessIsNamed)
{
    start(10000);
    reserveWithDraw(1, 100);
    environment.witness = bob;
    tick();
    advance(4s);
    ASSERT_TRUE(lastEntry<ChangeWitness>());
    const Tokens ceiling = lastEntry<ChangeWitness>()->ceiling;
    EXPECT_LT(ceiling, firstHolding().amount);
    EXPECT_EQ(firstHolding().ceiling, ceiling);
    land();
    EXPECT_EQ(firstHolding().ceiling, ceiling);
}

TEST_F(HolderTest, SettlesAndClosesASealedGrant)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    landAs(bob, Seal { reservation.grant, bob, firstHolding().ceiling });
    EXPECT_TRUE(lastAction<Retired>());
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
    const Reservation reservation = reserveWithDraw(1, 100);
    landAs(bob, Draw { grantOf(bob, 1), budget, {}, {}, {} });
    landAs(bob, Bill { reservation.key, reservation.grant, tokens(0) });
    holder->settle(reservation, tokens(80), actions);
    EXPECT_FALSE(reserve(2, 100));
    land();
    EXPECT_TRUE(reserve(2, 100));
}

TEST_F(HolderTest, ReturnsTokensForOthersShortfallAndDrawsNoMore)
{
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    holder->settle(reservation, tokens(100), actions);
    land();
    actions.clear();
    landAs(bob, Draw { grantOf(bob, 1), budget, tokens(900), tokens(900), {} });
    EXPECT_TRUE(lastEntry<CloseGrant>()) << "all that is free here is less than what bob is short of";
    land();
    EXPECT_EQ(fold.budget(budget)->available(), tokens(900));
    EXPECT_FALSE(lastEntry<Draw>());
}

TEST_F(HolderTest, ReturnsNoMoreThanOthersShortfall)
{
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    holder->settle(reservation, tokens(100), actions);
    land();
    const Tokens before = firstHolding().amount;
    const Tokens available = fold.budget(budget)->available();
    actions.clear();
    landAs(bob, Draw { grantOf(bob, 1), budget, available + tokens(10), available + tokens(10), {} });
    ASSERT_TRUE(lastEntry<Return>());
    EXPECT_EQ(lastEntry<Return>()->amount, tokens(10));
    EXPECT_EQ(firstHolding().amount, before - tokens(10));
}

// Failure: a request is refused although two grants, with 60 and 40 free tokens, would cover it together: each request
// is covered by a single grant.
TEST_F(HolderTest, ConsolidatesRemaindersIntoOneGrant)
{
    start(200);
    const Reservation first = reserveWithDraw(1, 90);
    const Reservation second = reserveWithDraw(2, 90);
    holder->settle(first, tokens(20), actions);
    holder->settle(second, tokens(20), actions);
    EXPECT_NO_FATAL_FAILURE(reserveWithDraw(3, 150));
}

TEST_F(HolderTest, ClosesAfterTheLastBillWhenStopping)
{
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    environment.stopping = true;
    tick();
    land();
    EXPECT_FALSE(holder->drained());
    EXPECT_EQ(firstHolding().amount, tokens(100));
    holder->settle(reservation, tokens(70), actions);
    ASSERT_TRUE(lastEntry<CloseGrant>());
    EXPECT_FALSE(holder->drained());
    land();
    EXPECT_TRUE(holder->drained());
    EXPECT_EQ(view().held, tokens(70));
}

TEST_F(HolderTest, DistinguishesExhaustedFromHeldElsewhere)
{
    start(100);
    EXPECT_FALSE(reserve(1, 101));
    EXPECT_EQ(lastShortage.reason, ShortReason::BudgetExhausted);
    EXPECT_FALSE(lastShortage.pending);
    landAs(bob, Draw { grantOf(bob, 1), budget, tokens(100), {}, {} });
    EXPECT_FALSE(reserve(2, 50));
    EXPECT_EQ(lastShortage.reason, ShortReason::TokensHeldElsewhere);
    EXPECT_TRUE(lastShortage.pending);
    now += 1900ms;
    EXPECT_FALSE(reserve(2, 50));
    now += 1900ms;
    land();
    actions.clear();
    EXPECT_FALSE(reserve(2, 50));
    EXPECT_FALSE(lastShortage.pending && !lastEntry<Draw>());
}

TEST_F(HolderTest, RaisesToTheWholeGrantWhileTheLogIsUnreachable)
{
    environment.witness = bob;
    start(1000);
    const Reservation reservation = reserveWithDraw(1, 100);
    environment.logReachable = false;
    advance(1s);
    ASSERT_TRUE(lastAction<SendRaise>());
    EXPECT_EQ(lastAction<SendRaise>()->ceilings.front().ceiling, firstHolding().amount);
    EXPECT_EQ(reservation.grant, firstHolding().grant);
}

// Failure: one holder draws half of the remaining budget again and again, and hardly any of it is billed. Tokens were
// short for two seconds, and each refused try of 40 callers counted as demand and kept waiting for two more seconds.
TEST_F(HolderTest, WithdrawnRequestsAddNoDemand)
{
    startSealOnly(10'000'000);
    environment.logReachable = false;
    tick();
    for (std::uint64_t key = 1; key <= 40; ++key) {
        EXPECT_FALSE(reserve(key, 10'000));
        holder->withdraw(budget, keyOf(key), now);
    }
    advance(std::chrono::milliseconds { 100 });
    environment.logReachable = true;
    tick();
    EXPECT_FALSE(lastEntry<Draw>());
    EXPECT_FALSE(reserve(41, 10'000));
    ASSERT_TRUE(lastEntry<Draw>());
    EXPECT_LT(lastEntry<Draw>()->wanted, tokens(100'000));
}

// Failure: at the end of a budget each caller waits nearly half a second and is refused. The remaining tokens are held
// by failed routers, a shortage signal is sent every second, and requests wait for each signal although none of them
// was ever answered.
TEST_F(HolderTest, DoesNotWaitForUnansweredShortageSignals)
{
    start(1000);
    draw(bob, 1, 900);
    const auto waitsWhenShort = [&](std::uint64_t key) {
        EXPECT_FALSE(reserve(key, 500));
        land();
        EXPECT_FALSE(reserve(key, 500));
        const bool pending = lastShortage.pending;
        holder->withdraw(budget, keyOf(key), now);
        return pending;
    };
    EXPECT_TRUE(waitsWhenShort(1)) << "the first waits for an answer";
    advance(std::chrono::milliseconds { 1100 });
    EXPECT_FALSE(waitsWhenShort(2));
    advance(std::chrono::milliseconds { 1100 });
    EXPECT_FALSE(waitsWhenShort(3));
    take(bob, Return { grantOf(bob, 1), tokens(800) });
    advance(std::chrono::milliseconds { 1100 });
    (void)reserveWithDraw(4, 500);
    advance(std::chrono::milliseconds { 1100 });
    EXPECT_TRUE(waitsWhenShort(5)) << "there was an answer since";
}

// Failure: within seconds after an outage one router draws half of a budget, half of the rest, and so on, while it
// refuses requests. Its witness has a backlog of the log and answers no raise, tokens above the ceiling do not count as
// held, and each new grant names the same witness.
TEST_F(HolderTest, SilentWitnessCausesNoRepeatedDraws)
{
    PolicySettings settings;
    settings.witnessesClose = false;
    settings.watermarks = Watermarks { 8, 10 };
    start(10'000'000, "grants", settings);
    environment.witness = bob;
    advance(std::chrono::seconds { 4 });
    std::uint64_t key = 0;
    int served = 0;
    for (int step = 0; step < 40; ++step) {
        advance(std::chrono::milliseconds { 50 });
        served += reserve(++key, 1'000) ? 1 : 0;
        land();
    }
    const auto view = fold.budget(budget);
    ASSERT_TRUE(view);
    EXPECT_LT(view->held, tokens(2'000'000)) << "20,000 tokens a second are asked for";
    EXPECT_GT(served, 15) << "once the witness is known to be silent, new grants name no witness";
}

// Failure: after an outage a hundred callers each wait 600 ms and are refused. A draw queues behind the bills of the
// outage and is read back only a second later, and every request waits for it, however late it already is.
TEST_F(HolderTest, DoesNotWaitForAnOverdueDraw)
{
    startSealOnly(10'000'000);
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(lastShortage.pending);
    advance(std::chrono::milliseconds { 150 });
    EXPECT_FALSE(reserve(2, 100));
    EXPECT_TRUE(lastShortage.pending);
    advance(std::chrono::milliseconds { 100 });
    EXPECT_FALSE(reserve(3, 100));
    EXPECT_FALSE(lastShortage.pending) << "twice as late as draws usually are";
    land();
    acknowledgeRaise();
    EXPECT_TRUE(reserve(4, 100));
}

// Failure: a router with a hundred waiting requests falls behind in reading the ledger and refuses all of them, because
// each request is retried with each bill read, and each retry processed all waiting requests of the budget.
TEST_F(HolderTest, RetryEmitsNoActions)
{
    start(1000);
    EXPECT_FALSE(reserve(1, 100));
    actions.clear();
    EXPECT_FALSE(reserve(1, 100));
    EXPECT_TRUE(actions.empty());
}

TEST_F(HolderTest, SpendableIsTheLargestReservableAmount)
{
    start(1000);
    EXPECT_EQ(holder->spendable(budget), tokens(0));
    const Reservation reservation = reserveWithDraw(1, 100);
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
    EXPECT_EQ(firstHolding().amount, tokens(100));
    EXPECT_TRUE(reserve(1, 60));
    EXPECT_FALSE(reserve(2, 60));
    EXPECT_FALSE(lastEntry<Draw>());
    EXPECT_FALSE(lastShortage.pending);
}

TEST_F(HolderTest, AppendPerRequestReturnsTheRestAtOnce)
{
    start(1000, "append_per_request");
    const Reservation reservation = reserveWithDraw(1, 100);
    EXPECT_EQ(firstHolding().amount, tokens(100));
    holder->settle(reservation, tokens(30), actions);
    land();
    EXPECT_EQ(view().held, tokens(30));
    EXPECT_TRUE(holder->drained());
}

// For two minutes, 10 requests per second reserve 440 tokens each, of which 300 are billed: a draw has to cover many
// requests.
TEST_F(HolderTest, SteadyDemandNeedsFewDrawsAndRaises)
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
        advance(100ms);
        draws += lastEntry<Draw>() ? 1 : 0;
        raises += lastAction<SendRaise>() ? 1 : 0;
        land();
        acknowledgeRaise();
        actions.clear();
    }
    std::cout << draws << " draws, " << raises << " raises, " << refused << " short of " << requests << " requests\n";
    EXPECT_LE(refused, 2U);
    EXPECT_LE(draws, 15U);
    EXPECT_LE(raises, 200U);
    EXPECT_LE(holder->holdings().size(), 3U);
}

TEST(HoldingPolicyTest, UnknownNameGivesNull)
{
    EXPECT_EQ(makePolicy("fixed_chunks", {}), nullptr);
    EXPECT_NE(makePolicy("grants", {}), nullptr);
}

TEST(HoldingPolicyTest, DrawAheadOfNeedIsBoundedByAFairShare)
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
