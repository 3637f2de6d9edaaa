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

    /** @return Why a new fold refuses to restore this fold's checkpoint after `corrupt` has changed the state. */
    std::string restoreFailure(const std::function<void(State&)>& corrupt) const
    {
        Checkpoint checkpoint = fold.checkpoint();
        State state;
        EXPECT_TRUE(state.ParseFromString(checkpoint.state));
        corrupt(state);
        checkpoint.state = state.SerializeAsString();
        Fold fresh;
        EXPECT_FALSE(fresh.restore(checkpoint));
        EXPECT_EQ(fresh.nextOffset(), Offset {});
        EXPECT_TRUE(fresh.budgets().empty());
        return fresh.lastReason();
    }
};

TEST_F(CheckpointTest, RestoresTheWholeState)
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

// A reader restores a checkpoint that is older than its own state. It would lose an admitted draw, and the same tokens
// would be admitted again.
TEST_F(CheckpointTest, RefusesACheckpointOlderThanTheFold)
{
    const Checkpoint old = fold.checkpoint();
    draw(carol, 1, 10);
    EXPECT_FALSE(fold.restore(old));
    EXPECT_EQ(fold.lastReason(), "the checkpoint is older than the records that were applied");
    EXPECT_EQ(grant(carol, 1).amount, Tokens { 10 });
}

TEST_F(CheckpointTest, ApplyingACheckpointEntryChangesNoState)
{
    const std::string before = fold.checkpoint().state;
    take(carol, Checkpoint { Offset { 2 }, "not an encoded state" });
    EXPECT_EQ(count<Landed>(), 1U);
    EXPECT_EQ(effects.size(), 1U);
    take(carol, Checkpoint { Offset { 1'000 }, before });
    EXPECT_EQ(last<Refused>().reason, "the checkpoint covers records after its own offset");
}

// A new reader starts from a checkpoint that is damaged, or that a release with other limits wrote. Without a check of
// the state, the reader would admit draws that other readers refuse.
TEST_F(CheckpointTest, RefusesAnInconsistentState)
{
    const std::string prefix = "the checkpoint can't be decoded: ";
    EXPECT_EQ(restoreFailure([](State& s) { s.set_rules_version(9); }), prefix + "unknown rules version 9");
    EXPECT_EQ(restoreFailure([](State& s) { s.set_key_window(5); }),
        prefix + "the writer's limits of keys and authors differ from the reader's");
    EXPECT_EQ(restoreFailure([](State& s) { *s.add_accounts() = s.accounts(0); }), prefix + "duplicate account");
    EXPECT_EQ(restoreFailure([](State& s) { s.clear_accounts(); }),
        prefix + "duplicate budget, or budget without an account");
    EXPECT_EQ(restoreFailure([](State& s) { s.mutable_budgets(0)->set_closed(101); }),
        prefix + "the billed tokens of a budget's closed grants must be between 0 and the tokens bought");
    EXPECT_EQ(restoreFailure([](State& s) { s.mutable_budgets(0)->set_bought(24); }),
        prefix + "the held, billed or floor tokens of a grant are out of bounds");
    EXPECT_EQ(restoreFailure([](State& s) { s.mutable_grants(0)->set_billed(26); }),
        prefix + "the held, billed or floor tokens of a grant are out of bounds");
    EXPECT_EQ(restoreFailure([](State& s) { s.mutable_grants(0)->set_amount(24); }),
        prefix + "grant 1 of hall/desk violates 0 <= billed <= held <= amount");
    EXPECT_EQ(restoreFailure([](State& s) { s.clear_origins(); }),
        prefix + "the holder of a grant is missing, or its highest grant number is too low");
    EXPECT_EQ(restoreFailure([](State& s) { *s.add_origins() = s.origins(0); }), prefix + "duplicate author");
    EXPECT_EQ(restoreFailure([](State& s) { s.add_bill_tokens(1); }),
        prefix + "the numbers of billed keys and of their tokens differ, or exceed the limit");
    EXPECT_EQ(restoreFailure([](State& s) { s.add_claim_owners(1); }),
        prefix + "the numbers of claimed keys and of their owners differ, or exceed the limit");
    EXPECT_FALSE(Fold().restore(Checkpoint { {}, "\xff" }));
}

} // namespace swiftlift::ledger
