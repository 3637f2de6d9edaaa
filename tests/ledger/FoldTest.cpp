#include "swiftlift/ledger/Fold.h"

#include <gtest/gtest.h>

#include <limits>

#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

TEST_F(FoldFixture, AppliesAnAuthorsItemsInSequence)
{
    open(100);
    draw(alice, 1, 10);
    EXPECT_EQ(last<Landed>().origin, alice);
    EXPECT_EQ(last<Landed>().sequence, 1U);
    EXPECT_EQ(fold.lastSequence(alice), 1U);
    EXPECT_EQ(fold.lastSequence(bob), 0U);
}

// An append lands, its response is lost, and the author repeats the append, so the log contains the item twice. If both
// copies counted, a budget would be topped up twice, or a draw granted twice (rule S5).
TEST_F(FoldFixture, IgnoresARepeatedItemWithoutAnEffect)
{
    open(100);
    apply(Batch { rulesVersion, { Item { operators, 2, TopUp { budget, Tokens { 100 } } } } });
    EXPECT_TRUE(effects.empty());
    EXPECT_EQ(view().bought, Tokens { 100 });
}

// An author's append is lost for good and a later one lands. If the gap in the sequence were skipped, the later item
// would be applied to a state that its author did not create it for (rule S5).
TEST_F(FoldFixture, RefusesAnItemAfterAGapInTheSequence)
{
    open(100);
    apply(Batch { rulesVersion, { Item { alice, 2, Draw { grantOf(alice, 1), budget, Tokens { 10 }, {}, {} } } } });
    EXPECT_EQ(last<Refused>().reason, "sequence 2 follows 0");
    EXPECT_EQ(count<Landed>(), 0U);
    EXPECT_EQ(view().held, Tokens {});
}

TEST_F(FoldFixture, RefusesARecordAfterAGapAndARecordAppliedBefore)
{
    EXPECT_FALSE(fold.apply(Offset { 1 }, Batch {}, effects));
    EXPECT_EQ(fold.lastReason(), "record 1 is not the next record, which is 0");
    ASSERT_TRUE(fold.apply(Offset { 0 }, Batch {}, effects));
    EXPECT_FALSE(fold.apply(Offset { 0 }, Batch {}, effects));
    EXPECT_EQ(fold.nextOffset(), Offset { 1 });
}

// A newer release appends a batch with rules that an older release does not know. If the older release applied the
// batch, the two releases could admit the same tokens to two holders (rule S14).
TEST_F(FoldFixture, StopsAtAnUnknownRulesVersion)
{
    EXPECT_FALSE(fold.apply(Offset {}, Batch { rulesVersion + 1, {} }, effects));
    EXPECT_FALSE(fold.apply(Offset {}, Batch { 0, {} }, effects));
    EXPECT_EQ(fold.nextOffset(), Offset {});
}

TEST_F(FoldFixture, RefusesToOpenAnAccountTwice)
{
    take(operators, OpenAccount { budget.account, "first" });
    take(alice, OpenAccount { budget.account, "second" });
    EXPECT_EQ(last<Refused>().reason, "the account exists already");
    EXPECT_EQ(count<Landed>(), 1U);
    EXPECT_EQ(fold.account(budget.account)->keyHash, "first");
}

// Two operators act on the same state: one tops the account up, then the other one's closing lands. Without the
// expected revision, the closing would close an account that has just been topped up.
TEST_F(FoldFixture, ClosesAnAccountOnlyAtTheExpectedRevision)
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
    EXPECT_EQ(last<Refused>().reason, "the account does not exist");
    open(100);
    for (const std::int64_t amount :
        { std::int64_t { 0 }, std::int64_t { -1 }, std::numeric_limits<std::int64_t>::max() }) {
        take(operators, TopUp { budget, Tokens { amount } });
        EXPECT_EQ(count<Refused>(), 1U);
    }
    EXPECT_EQ(view().bought, Tokens { 100 });
}

TEST_F(FoldFixture, AdmitsDrawsUpToTheTokensBought)
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

TEST_F(FoldFixture, AdmitsNothingBelowTheMinimumOfTheDraw)
{
    open(100);
    take(alice, Draw { grantOf(alice, 1), budget, Tokens { 150 }, Tokens { 101 }, {} });
    EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    EXPECT_EQ(last<DrawDecided>().shortfall, Tokens { 50 });
    EXPECT_EQ(fold.grant(grantOf(alice, 1)), std::nullopt);
    draw(alice, 2, 0);
    EXPECT_EQ(fold.openGrants().size(), 0U);
}

TEST_F(FoldFixture, RefusesADrawByAnotherAuthorOrWithAUsedNumber)
{
    open(100);
    take(bob, Draw { grantOf(alice, 1), budget, Tokens { 10 }, {}, {} });
    EXPECT_EQ(last<Refused>().reason, "the author of a draw must be the holder of the grant");
    draw(alice, 2, 10);
    for (const std::uint32_t number : { 1U, 2U }) {
        draw(alice, number, 10);
        EXPECT_EQ(last<Refused>().reason, "the grant's number must be higher than 2");
        EXPECT_EQ(last<DrawDecided>().admitted, Tokens {});
    }
    EXPECT_EQ(view().held, Tokens { 10 });
}

TEST_F(FoldFixture, AReturnFreesOnlyTokensThatWereNotBilled)
{
    open(100);
    draw(alice, 1, 50);
    take(bob, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(alice, Return { grantOf(alice, 1), Tokens { 31 } });
    EXPECT_EQ(count<Refused>(), 1U);
    take(bob, Return { grantOf(alice, 1), Tokens { 10 } });
    EXPECT_EQ(last<Refused>().reason, "only the holder of the grant may append this entry");
    take(alice, Return { grantOf(alice, 1), Tokens { 30 } });
    EXPECT_EQ(view().held, Tokens { 20 });
    EXPECT_EQ(view().available(), Tokens { 80 });
}

// A holder closes a grant, and a bill on the grant or a second closing lands afterwards. The fold no longer stores the
// closed grant. If the fold took the grant for a new one, the budget would be overspent (rule S12).
TEST_F(FoldFixture, RefusesEntriesOnAClosedGrant)
{
    open(100);
    draw(alice, 1, 50);
    take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(last<GrantChanged>().state, GrantState::Closed);
    EXPECT_EQ(fold.grant(grantOf(alice, 1)), std::nullopt);
    EXPECT_EQ(view().held, Tokens { 20 });
    const std::string reason = "the grant is closed or was never admitted";
    take(bob, Bill { keyOf(2), grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, reason);
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(last<Refused>().reason, reason);
    take(bob, Bill { keyOf(2), grantOf(alice, 2), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, "the grant does not exist");
    EXPECT_EQ(view().billed, Tokens { 20 });
}

TEST_F(FoldFixture, ASealSetsTheHighestKnownCeiling)
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

TEST_F(FoldFixture, TheFloorStaysBetweenBilledTokensAndTheGrantsAmount)
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

// A holder changes its witness, and the previous witness, which knows a lower ceiling, seals the grant later in the
// log. If that seal counted, the holder could spend more than the sealed ceiling, and the freed tokens would be spent
// twice (rule S8).
TEST_F(FoldFixture, OnlyThePresentWitnessMaySeal)
{
    open(100);
    draw(alice, 1, 100, bob);
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 40 } });
    take(bob, Seal { grantOf(alice, 1), bob, Tokens { 10 } });
    EXPECT_EQ(last<Refused>().reason, "only the witness of the grant may seal it");
    take(bob, Seal { grantOf(alice, 1), carol, Tokens { 10 } });
    EXPECT_EQ(count<Refused>(), 1U);
    take(carol, Seal { grantOf(alice, 1), carol, Tokens { 10 } });
    EXPECT_EQ(grant(alice, 1).ceiling, Tokens { 40 });
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 90 } });
    EXPECT_EQ(last<Refused>().reason, "the grant is sealed");
    take(alice, Return { grantOf(alice, 1), Tokens { 1 } });
    EXPECT_EQ(last<Refused>().reason, "the grant is sealed");
}

// A holder fails with a draw in flight, its grant is sealed, and then the draw lands. If the draw were admitted, its
// tokens would stay held by the failed holder, until the budget has none left (rule S9).
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
    EXPECT_EQ(last<Refused>().reason, "the bill exceeds the tokens that are left in the grant");
    take(alice, CloseGrant { grantOf(alice, 1) });
    EXPECT_EQ(view().held, Tokens { 10 });
    EXPECT_EQ(fold.openGrants().size(), 0U);
}

// A router loses the response of its backend server, the request runs again on another one, and both routers bill it.
// If bills were identified by grant and not by the request's key, the request would be billed twice (rule S10).
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
    EXPECT_EQ(last<Refused>().reason, "a bill must not have negative tokens");
    EXPECT_EQ(view().billed, Tokens { 20 });
}

// Two routers claim the same key, each with its own append. If the later claim counted too, a non-idempotent request
// would run twice (rule S11).
TEST_F(FoldFixture, TheFirstClaimOrVoidOfAKeyIsFinal)
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

TEST_F(FoldFixture, AnOwnerMayVoidItsClaimForGood)
{
    take(alice, Claim { keyOf(1) });
    take(alice, VoidClaim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, Incarnation {});
    take(bob, Claim { keyOf(1) });
    EXPECT_EQ(last<ClaimDecided>().owner, Incarnation {});
}

TEST_F(FoldFixture, EvictsTheOldestKeysAndAuthorsAboveTheLimits)
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
    EXPECT_EQ(fold.lastSequence(alice), 4U) << "an author with an open grant must not be evicted";
}

TEST_F(FoldFixture, RefusesAnItemWithoutAnAuthor)
{
    apply(Batch { rulesVersion, { Item { Incarnation {}, 1, Claim { keyOf(1) } } } });
    EXPECT_EQ(last<Refused>().reason, "the item has no author");
    EXPECT_EQ(fold.claimOwner(keyOf(1)), std::nullopt);
}

// A holder without a witness fails, so that neither a holder nor a witness can close its grant, and its tokens would
// stay held for good. An operator writes the grant off. A late bill and a second write-off must not free tokens again.
TEST_F(FoldFixture, AWriteOffFreesTheTokensThatWereNotBilledOnce)
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

// A router that is not the witness, or a witness that has not sealed the grant, closes the grant. If that were allowed,
// the tokens of a holder that still runs would be freed.
TEST_F(FoldFixture, OnlyTheWitnessOfASealedGrantMayCloseItForTheHolder)
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
