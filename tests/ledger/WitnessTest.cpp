#include "swiftlift/ledger/Witness.h"

#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

/** Tests a witness that runs as `bob`. The tests draw grant 1 of `alice` with `bob` as its witness. */
class WitnessTest : public FoldFixture {
protected:
    /** Passes a request of `alice` to raise the ceiling of her grant 1. */
    void requestCeiling(std::int64_t ceiling)
    {
        actions.clear();
        witness.onRaise(alice, { { grantOf(alice, 1), Tokens { ceiling } } }, actions);
    }
    /** Passes the effects of the last batch to the witness. */
    void deliverEffects()
    {
        actions.clear();
        for (const Effect& effect : effects)
            witness.onEffect(effect, actions);
    }
    /** @return The action when there is exactly one and it is of this kind. */
    template <typename Kind> std::optional<Kind> onlyAction() const
    {
        if (actions.size() != 1 || !std::holds_alternative<Kind>(actions.front()))
            return {};
        return std::get<Kind>(actions.front());
    }
    /** @return The seal when the only action appends a seal. */
    std::optional<Seal> onlyAppendedSeal() const
    {
        const auto append = onlyAction<AppendEntry>();
        return append ? std::optional(std::get<Seal>(append->entry)) : std::nullopt;
    }

    Witness witness { bob, fold };
    LedgerActions actions;
};

TEST_F(WitnessTest, AcknowledgesOnlyGrantsThatNameItAsWitnessInTheLog)
{
    open(100);
    requestCeiling(10);
    EXPECT_TRUE(actions.empty());
    draw(alice, 1, 50, bob);
    requestCeiling(10);
    ASSERT_TRUE(onlyAction<SendCeilingsAcked>());
    requestCeiling(5);
    EXPECT_EQ(onlyAction<SendCeilingsAcked>().value().ceilings.front().ceiling, Tokens { 10 });
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 10 } });
    requestCeiling(20);
    EXPECT_TRUE(onlyAction<SendCeilingsRefused>());
}

TEST_F(WitnessTest, RefusesARequestThatIsNotFromTheHolder)
{
    open(100);
    draw(alice, 1, 50, bob);
    witness.onRaise(carol, { { grantOf(alice, 1), Tokens { 10 } } }, actions);
    EXPECT_TRUE(onlyAction<SendCeilingsRefused>());
}

TEST_F(WitnessTest, SealsAtTheHighestCeilingAndAcknowledgesNoMore)
{
    open(100);
    draw(alice, 1, 50, bob);
    requestCeiling(10);
    requestCeiling(5);
    actions.clear();
    witness.suspect(alice, actions);
    EXPECT_EQ(onlyAppendedSeal().value().ceiling, Tokens { 10 });
    requestCeiling(10);
    EXPECT_TRUE(onlyAction<SendCeilingsRefused>());
    witness.suspect(alice, actions);
    EXPECT_EQ(actions.size(), 1U);
}

TEST_F(WitnessTest, SealsAGrantThatLandsAfterTheSuspicion)
{
    open(100);
    witness.suspect(alice, actions);
    EXPECT_TRUE(actions.empty());
    draw(alice, 1, 50, bob);
    deliverEffects();
    EXPECT_EQ(onlyAppendedSeal().value().ceiling, Tokens { 0 });
}

// An acknowledgement is in flight while the holder changes its witness and changes it back; the acknowledgement
// arrives, and the grant is sealed. If the witness had forgotten the ceilings from before the change, the holder could
// spend more than the sealed ceiling.
TEST_F(WitnessTest, SealsAtACeilingAcknowledgedBeforeAChangeOfWitness)
{
    open(100);
    draw(alice, 1, 50, bob);
    requestCeiling(30);
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 10 } });
    deliverEffects();
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 10 } });
    deliverEffects();
    witness.suspect(alice, actions);
    EXPECT_EQ(onlyAppendedSeal().value().ceiling, Tokens { 30 });
}

} // namespace swiftlift::ledger
