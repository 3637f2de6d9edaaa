#include <gtest/gtest.h>

#include <functional>

#include "checkpoint.pb.h"
#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

class CheckpointTest : public FoldFixture {
protected:
    using State = swiftlift::proto::checkpoint::State;

    void SetUp() override
    {
        open(100);
        draw(alice, 1, 50, bob);
        draw(bob, 1, 30);
        take(alice, Bill { keyOf(1), grantOf(alice, 1), Tokens { 20 } });
        take(bob, Seal { grantOf(alice, 1), bob, Tokens { 25 } });
        take(bob, CloseGrant { grantOf(bob, 1) });
        take(carol, Claim { keyOf(2) });
    }

    /** @return Why a fresh fold refuses this fold's checkpoint, changed by `spoil`. */
    std::string reasonOf(const std::function<void(State&)>& spoil) const
    {
        Checkpoint checkpoint = fold.checkpoint();
        State state;
        EXPECT_TRUE(state.ParseFromString(checkpoint.state));
        spoil(state);
        checkpoint.state = state.SerializeAsString();
        Fold fresh;
        EXPECT_FALSE(fresh.restore(checkpoint));
        EXPECT_EQ(fresh.nextOffset(), Offset {});
        EXPECT_TRUE(fresh.budgets().empty());
        return fresh.lastReason();
    }
};

TEST_F(CheckpointTest, RestoresAllThatTheRulesLookAt)
{
    Fold fresh;
    ASSERT_TRUE(fresh.restore(fold.checkpoint())) << fresh.lastReason();
    EXPECT_EQ(fresh.nextOffset(), fold.nextOffset());
    EXPECT_EQ(fresh.checkpoint(), fold.checkpoint());
    EXPECT_EQ(fresh.budget(budget)->held, Tokens { 25 });
    EXPECT_EQ(fresh.grant(grantOf(alice, 1))->state, GrantState::Sealed);
    EXPECT_TRUE(fresh.retired(alice));
    EXPECT_EQ(fresh.billed(keyOf(1)), Tokens { 20 });
    EXPECT_EQ(fresh.claimOwner(keyOf(2)), carol);
    EXPECT_EQ(fresh.lastSequence(bob), 3U);
}

// Symptom: a draw that was admitted is gone, and its money is admitted again.
// Sequence: a reader that is ahead takes an old checkpoint from the log.
// Cause: the fold went back.
TEST_F(CheckpointTest, AReaderNeverGoesBack)
{
    const Checkpoint old = fold.checkpoint();
    draw(carol, 1, 10);
    EXPECT_FALSE(fold.restore(old));
    EXPECT_EQ(fold.lastReason(), "the checkpoint is older than what has been read");
    EXPECT_EQ(grant(carol, 1).amount, Tokens { 10 });
}

TEST_F(CheckpointTest, AReaderInSyncIgnoresTheEntry)
{
    const std::string before = fold.checkpoint().state;
    take(carol, Checkpoint { Offset { 2 }, "not even a state" });
    EXPECT_EQ(count<Landed>(), 1U);
    EXPECT_EQ(effects.size(), 1U);
    take(carol, Checkpoint { Offset { 1'000 }, before });
    EXPECT_EQ(last<Refused>().reason, "the checkpoint is of records that come after it");
}

// Symptom: a fresh reader admits draws that the others refuse.
// Sequence: it starts from a checkpoint that is damaged, or was written by a release with other limits.
// Cause: the state was taken in without a look at its sums.
TEST_F(CheckpointTest, RefusesAStateThatIsNotSound)
{
    const std::string prefix = "the checkpoint can't be read: ";
    EXPECT_EQ(reasonOf([](State& s) { s.set_rules_version(9); }), prefix + "its rules have version 9");
    EXPECT_EQ(reasonOf([](State& s) { s.set_key_window(5); }), prefix + "it was written with other limits");
    EXPECT_EQ(reasonOf([](State& s) { *s.add_accounts() = s.accounts(0); }), prefix + "an account stands twice");
    EXPECT_EQ(reasonOf([](State& s) { s.clear_accounts(); }), prefix + "a budget has no account, or stands twice");
    EXPECT_EQ(reasonOf([](State& s) { s.mutable_budgets(0)->set_closed(101); }), prefix + "a budget is out of bounds");
    EXPECT_EQ(reasonOf([](State& s) { s.mutable_budgets(0)->set_bought(24); }), prefix + "a grant is out of bounds");
    EXPECT_EQ(reasonOf([](State& s) { s.mutable_grants(0)->set_billed(26); }), prefix + "a grant is out of bounds");
    EXPECT_EQ(reasonOf([](State& s) { s.mutable_grants(0)->set_amount(24); }),
        prefix + "grant 1 of hall/desk is out of bounds");
    EXPECT_EQ(reasonOf([](State& s) { s.clear_origins(); }), prefix + "a grant has no holder");
    EXPECT_EQ(reasonOf([](State& s) { *s.add_origins() = s.origins(0); }), prefix + "an author stands twice");
    EXPECT_EQ(reasonOf([](State& s) { s.add_bill_tokens(1); }), prefix + "the billed keys don't match their tokens");
    EXPECT_EQ(reasonOf([](State& s) { s.add_claim_owners(1); }), prefix + "the claimed keys don't match their owners");
    EXPECT_FALSE(Fold().restore(Checkpoint { {}, "\xff" }));
}

} // namespace swiftlift::ledger
