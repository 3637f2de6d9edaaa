#include "swiftlift/ledger/Fold.h"

#include <gtest/gtest.h>

#include <limits>

#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

TEST_F(FoldFixture, CountsAnAuthorsItemsInSequence)
{
    open(100);
    draw(alice, 1, 10);
    EXPECT_EQ(last<Landed>().origin, alice);
    EXPECT_EQ(last<Landed>().sequence, 1U);
    EXPECT_EQ(fold.lastSequence(alice), 1U);
    EXPECT_EQ(fold.lastSequence(bob), 0U);
}

// Symptom: a budget is bought twice, or a draw is granted twice.
// Sequence: an append lands, its answer is lost, its author makes it again, and both stand in the log.
// Cause: the second copy counted as a new item (S5).
TEST_F(FoldFixture, IgnoresARepeatWithoutAWord)
{
    open(100);
    apply(Batch { rulesVersion, { Item { operators, 2, TopUp { budget, Tokens { 100 } } } } });
    EXPECT_TRUE(effects.empty());
    EXPECT_EQ(view().bought, Tokens { 100 });
}

// Symptom: a router acts on a state that its author never saw.
// Sequence: an author's append is lost for good, a later one lands.
// Cause: a hole in the author's sequence was passed over (S5).
TEST_F(FoldFixture, RefusesAnItemAfterAHole)
{
    open(100);
    apply(Batch { rulesVersion, { Item { alice, 2, Draw { grantOf(alice, 1), budget, Tokens { 10 }, {}, {} } } } });
    EXPECT_EQ(last<Refused>().reason, "sequence 2 comes after 0");
    EXPECT_EQ(count<Landed>(), 0U);
    EXPECT_EQ(view().held, Tokens {});
}

TEST_F(FoldFixture, RefusesAGapAndARecordThatWasRead)
{
    EXPECT_FALSE(fold.apply(Offset { 1 }, Batch {}, effects));
    EXPECT_EQ(fold.lastReason(), "record 1 is not the next one, which is 0");
    ASSERT_TRUE(fold.apply(Offset { 0 }, Batch {}, effects));
    EXPECT_FALSE(fold.apply(Offset { 0 }, Batch {}, effects));
    EXPECT_EQ(fold.nextOffset(), Offset { 1 });
}

// Symptom: two releases admit the same money to two holders.
// Sequence: a newer release appends by rules that the older one does not know; the older one reads on.
// Cause: the rules' version was not looked at (S14).
TEST_F(FoldFixture, StopsAtLaterRules)
{
    EXPECT_FALSE(fold.apply(Offset {}, Batch { rulesVersion + 1, {} }, effects));
    EXPECT_FALSE(fold.apply(Offset {}, Batch { 0, {} }, effects));
    EXPECT_EQ(fold.nextOffset(), Offset {});
}

TEST_F(FoldFixture, TheFirstOpeningOfAnAccountWins)
{
    take(operators, OpenAccount { budget.account, "first" });
    take(alice, OpenAccount { budget.account, "second" });
    EXPECT_EQ(last<Refused>().reason, "the account exists already");
    EXPECT_EQ(count<Landed>(), 1U);
    EXPECT_EQ(fold.account(budget.account)->keyHash, "first");
}

// Symptom: an account is closed though another operator has just topped it up.
// Sequence: two operators act on the same state; one tops up, then the other's closing lands.
// Cause: the closing did not name the state it was meant for.
TEST_F(FoldFixture, ClosesAnAccountOnlyAsTheOperatorSawIt)
{
    open(100);
    const Offset seen = fold.account(budget.account)->revision;
    EXPECT_EQ(seen, Offset { 1 });
    take(operators, TopUp { budget, Tokens { 5 } });
    take(alice, CloseAccount { budget.account, seen });
    EXPECT_FALSE(fold.account(budget.account)->closed);
    take(alice, CloseAccount { budget.account, Offset { 2 } });
    EXPECT_TRUE(fold.account(budget.account)->closed);
    EXPECT_EQ(fold.account(budget.account)->revision, Offset { 4 });
    take(operators, TopUp { budget, Tokens { 5 } });
    EXPECT_EQ(last<Refused>().reason, "the account is closed");
    draw(bob, 1, 10);
    EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    EXPECT_EQ(last<Refused>().reason, "the account is closed");
}

TEST_F(FoldFixture, ATopUpNeedsAnAccountAndAnAmount)
{
    take(operators, TopUp { budget, Tokens { 5 } });
    EXPECT_EQ(last<Refused>().reason, "no such account");
    open(100);
    for (const std::int64_t amount :
        { std::int64_t { 0 }, std::int64_t { -1 }, std::numeric_limits<std::int64_t>::max() }) {
        take(operators, TopUp { budget, Tokens { amount } });
        EXPECT_EQ(count<Refused>(), 1U);
    }
    EXPECT_EQ(view().bought, Tokens { 100 });
}

TEST_F(FoldFixture, AdmitsADrawUpToWhatWasBought)
{
    open(100);
    draw(alice, 1, 60);
    draw(bob, 1, 60);
    EXPECT_EQ(grant(alice, 1).amount, Tokens { 60 });
    EXPECT_EQ(grant(bob, 1).amount, Tokens { 40 });
    EXPECT_EQ(last<DrawDecided>().shortfall, Tokens { 20 });
    EXPECT_EQ(view().available(), Tokens {});
    EXPECT_EQ(count<Refused>(), 0U);
}

TEST_F(FoldFixture, AdmitsNothingBelowTheLeast)
{
    open(100);
    take(alice, Draw { grantOf(alice, 1), budget, Tokens { 150 }, Tokens { 101 }, {} });
    EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    EXPECT_EQ(last<DrawDecided>().shortfall, Tokens { 50 });
    EXPECT_EQ(fold.grant(grantOf(alice, 1)), std::nullopt);
    draw(alice, 2, 0);
    EXPECT_EQ(fold.openGrants().size(), 0U);
}

TEST_F(FoldFixture, RefusesADrawForAnotherOrWithAnOldNumber)
{
    open(100);
    take(bob, Draw { grantOf(alice, 1), budget, Tokens { 10 }, {}, {} });
    EXPECT_EQ(last<Refused>().reason, "a draw is made by the grant's holder");
    draw(alice, 2, 10);
    for (const std::uint32_t number : { 1U, 2U }) {
        draw(alice, number, 10);
        EXPECT_EQ(last<Refused>().reason, "the grant's number is not higher than 2");
        EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    }
    EXPECT_EQ(view().held, Tokens { 10 });
}

TEST_F(FoldFixture, AReturnFreesWhatWasNotBilled)
{
    open(100);
    draw(alice, 1, 50);
    take(bob, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(alice, Return { grantOf(alice, 1), Tokens { 31 } });
    EXPECT_EQ(count<Refused>(), 1U);
    take(bob, Return { grantOf(alice, 1), Tokens { 10 } });
    EXPECT_EQ(last<Refused>().reason, "only the grant's holder may do that");
    take(alice, Return { grantOf(alice, 1), Tokens { 30 } });
    EXPECT_EQ(view().held, Tokens { 20 });
    EXPECT_EQ(view().available(), Tokens { 80 });
}

// Symptom: a request is billed to money that its holder gave back, and the budget is overspent.
// Sequence: a holder closes a grant; a bill on it, or a second closing, lands afterwards.
// Cause: a closed grant is no longer in memory, and an unknown one was taken for a new one (S12).
TEST_F(FoldFixture, AClosedGrantTakesNothingMore)
{
    open(100);
    draw(alice, 1, 50);
    take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(last<GrantChanged>().state, GrantState::Closed);
    EXPECT_EQ(fold.grant(grantOf(alice, 1)), std::nullopt);
    EXPECT_EQ(view().held, Tokens { 20 });
    const std::string reason = "the grant is closed, or was never admitted";
    take(bob, Bill { keyOf(2), grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, reason);
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(last<Refused>().reason, reason);
    take(bob, Bill { keyOf(2), grantOf(alice, 2), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, "no such grant");
    EXPECT_EQ(view().billed, Tokens { 20 });
}

TEST_F(FoldFixture, ASealHoldsTheHighestKnownCeiling)
{
    open(400);
    draw(alice, 1, 100, bob);
    draw(alice, 2, 100, bob);
    draw(alice, 3, 100, bob);
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 60 } });
    take(carol, Bill { keyOf(1), grantOf(alice, 2), Tokens { 70 } });
    for (const std::uint32_t number : { 1U, 2U })
        take(bob, Seal { grantOf(alice, number), bob, Tokens { 50 } });
    take(bob, Seal { grantOf(alice, 3), bob, Tokens { 1'000 } });
    EXPECT_EQ(grant(alice, 1).ceiling, Tokens { 60 });
    EXPECT_EQ(grant(alice, 2).ceiling, Tokens { 70 });
    EXPECT_EQ(grant(alice, 3).ceiling, Tokens { 100 });
    EXPECT_EQ(view().held, Tokens { 230 });
}

TEST_F(FoldFixture, TheFloorStaysBetweenWhatIsBilledAndTheGrant)
{
    open(100);
    draw(alice, 1, 50, bob);
    take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 5 } });
    EXPECT_EQ(grant(alice, 1).floor, Tokens { 20 });
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 60 } });
    EXPECT_EQ(grant(alice, 1).floor, Tokens { 50 });
    EXPECT_EQ(last<GrantChanged>().witness, bob);
    take(alice, Return { grantOf(alice, 1), Tokens { 10 } });
    EXPECT_EQ(grant(alice, 1).floor, Tokens { 40 });
}

// Symptom: a holder spends beyond what a seal left it, and the freed rest is spent again by another.
// Sequence: a holder changes its witness; the old one, which knows a lower ceiling, seals later in the log.
// Cause: a seal by someone who no longer is the witness counted (S8).
TEST_F(FoldFixture, OnlyThePresentWitnessSeals)
{
    open(100);
    draw(alice, 1, 100, bob);
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 40 } });
    take(bob, Seal { grantOf(alice, 1), bob, Tokens { 10 } });
    EXPECT_EQ(last<Refused>().reason, "only the grant's witness may seal it");
    take(bob, Seal { grantOf(alice, 1), carol, Tokens { 10 } });
    EXPECT_EQ(count<Refused>(), 1U);
    take(carol, Seal { grantOf(alice, 1), carol, Tokens { 10 } });
    EXPECT_EQ(grant(alice, 1).ceiling, Tokens { 40 });
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 90 } });
    EXPECT_EQ(last<Refused>().reason, "the grant is sealed");
    take(alice, Return { grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, "the grant is sealed");
}

// Symptom: tokens stay held by a holder that is gone, until the budget has nothing left.
// Sequence: a holder dies with a draw in flight; its grant is sealed; then the draw lands.
// Cause: the draw of a dead holder was admitted (S9).
TEST_F(FoldFixture, ASealRetiresTheHolder)
{
    open(100);
    draw(alice, 1, 50, bob);
    take(bob, Seal { grantOf(alice, 1), bob, Tokens { 10 } });
    EXPECT_TRUE(fold.retired(alice));
    draw(alice, 2, 50);
    EXPECT_EQ(last<Refused>().reason, "the holder is retired");
    EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    EXPECT_EQ(view().held, Tokens { 10 });
    take(carol, Bill { keyOf(1), grantOf(alice, 1), Tokens { 10 } });
    take(carol, Bill { keyOf(2), grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, "the bill passes what the grant holds");
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(view().held, Tokens { 10 });
    EXPECT_EQ(fold.openGrants().size(), 0U);
}

// Symptom: a request that ran on two backend servers is billed twice.
// Sequence: a router loses its backend server's answer; the request runs again elsewhere; both routers bill it.
// Cause: the bills were told apart by grant, not by the request's key (S10).
TEST_F(FoldFixture, BillsAKeyOnce)
{
    open(100);
    draw(alice, 1, 50);
    draw(bob, 1, 50);
    take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(bob, Bill { keyOf(1), grantOf(bob, 1), Tokens { 30 } });
    EXPECT_FALSE(last<BillDecided>().counted);
    EXPECT_EQ(fold.billed(keyOf(1)), Tokens { 20 });
    EXPECT_EQ(grant(bob, 1).billed, Tokens {});
    take(bob, Bill { keyOf(2), grantOf(bob, 1), {} });
    EXPECT_EQ(fold.billed(keyOf(2)), Tokens {});
    take(bob, Bill { keyOf(3), grantOf(bob, 1), Tokens { -1 } });
    EXPECT_EQ(last<Refused>().reason, "a bill charges no negative tokens");
    EXPECT_EQ(view().billed, Tokens { 20 });
}

// Symptom: a non-idempotent request runs twice.
// Sequence: two routers claim the same key, each with its own append.
// Cause: the later claim counted too (S11).
TEST_F(FoldFixture, TheFirstClaimOrVoidStands)
{
    take(alice, Claim { keyOf(1) });
    take(bob, Claim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, alice);
    take(bob, VoidClaim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, alice);
    take(bob, VoidClaim { keyOf(2) });
    take(alice, Claim { keyOf(2) });
    EXPECT_EQ(last<ClaimDecided>().owner, Incarnation {});
    EXPECT_EQ(fold.claimOwner(keyOf(2)), Incarnation {});
    EXPECT_EQ(fold.claimOwner(keyOf(3)), std::nullopt);
}

TEST_F(FoldFixture, AnOwnerVoidsItsClaimForGood)
{
    take(alice, Claim { keyOf(1) });
    take(alice, VoidClaim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, Incarnation {});
    take(bob, Claim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, Incarnation {});
}

TEST_F(FoldFixture, ForgetsTheOldestKeysAndAuthorsByCount)
{
    fold = Fold(FoldLimits { 2, 2 });
    open(100);
    draw(alice, 1, 50);
    for (const std::uint64_t low : { 1U, 2U, 3U })
        take(alice, Bill { keyOf(low), grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(fold.billed(keyOf(1)), std::nullopt);
    EXPECT_EQ(fold.billed(keyOf(2)), Tokens { 1 });
    take(bob, Claim { keyOf(1) });
    take(carol, Claim { keyOf(2) });
    EXPECT_EQ(fold.lastSequence(operators), 0U);
    EXPECT_EQ(fold.lastSequence(bob), 0U);
    EXPECT_EQ(fold.lastSequence(carol), 1U);
    EXPECT_EQ(fold.lastSequence(alice), 4U) << "it holds a grant";
}

TEST_F(FoldFixture, AnItemWithoutAnAuthorIsRefused)
{
    apply(Batch { rulesVersion, { Item { Incarnation {}, 1, Claim { keyOf(1) } } } });
    EXPECT_EQ(last<Refused>().reason, "the item has no author");
    EXPECT_EQ(fold.claimOwner(keyOf(1)), std::nullopt);
}

// Symptom: money of a dead holder is out of reach for good, or an operator's word frees it twice.
// Sequence: the holder dies without a witness; an operator writes its grant off; a late bill and a second word land.
// Cause: only a holder or a witness could close a grant.
TEST_F(FoldFixture, AnOperatorWritesOffAGrant)
{
    open(100);
    take(alice, Draw { grantOf(alice, 1), budget, Tokens { 60 }, Tokens { 60 }, {} });
    take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 10 } });
    take(bob, WriteOff { grantOf(alice, 1) });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 90 });
    take(bob, WriteOff { grantOf(alice, 1) });
    take(alice, Bill { keyOf(2), grantOf(alice, 1), Tokens { 10 } });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 90 });
    EXPECT_TRUE(fold.retired(alice));
}

// Symptom: a live holder's money is freed under it.
// Sequence: a router that is not the witness, or a witness that has sealed nothing, closes a grant.
// Cause: closing was open to anybody.
TEST_F(FoldFixture, OnlyTheWitnessOfASealedGrantClosesItForItsHolder)
{
    open(100);
    take(alice, Draw { grantOf(alice, 1), budget, Tokens { 60 }, Tokens { 60 }, bob });
    take(bob, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 40 });
    take(bob, Seal { grantOf(alice, 1), bob, Tokens { 20 } });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 80 });
    take(carol, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 80 });
    take(bob, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(fold.budget(budget)->available(), Tokens { 100 });
}

} // namespace swiftlift::ledger
