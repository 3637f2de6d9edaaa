#include "swiftlift/ledger/Witness.h"

#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

/** Bob is the witness of Alice's grant 1. */
class WitnessTest : public FoldFixture {
protected:
    void raise(std::int64_t ceiling)
    {
        actions.clear();
        witness.onRaise(alice, { { grantOf(alice, 1), Tokens { ceiling } } }, actions);
    }
    void read()
    {
        actions.clear();
        for (const Effect& effect : effects)
            witness.onEffect(effect, actions);
    }
    template <typename Kind> std::optional<Kind> only() const
    {
        if (actions.size() != 1 || !std::holds_alternative<Kind>(actions.front()))
            return {};
        return std::get<Kind>(actions.front());
    }
    std::optional<Seal> seal() const
    {
        const auto append = only<AppendEntry>();
        return append ? std::optional(std::get<Seal>(append->entry)) : std::nullopt;
    }

    Witness witness { bob, fold };
    LedgerActions actions;
};

TEST_F(WitnessTest, AcknowledgesOnlyWhatTheLogNamesItFor)
{
    open(100);
    raise(10);
    EXPECT_TRUE(actions.empty());
    draw(alice, 1, 50, bob);
    raise(10);
    ASSERT_TRUE(only<SendCeilingsAcked>());
    raise(5);
    EXPECT_EQ(only<SendCeilingsAcked>().value().ceilings.front().ceiling, Tokens { 10 });
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 10 } });
    raise(20);
    EXPECT_TRUE(only<SendCeilingsRefused>());
}

TEST_F(WitnessTest, AcknowledgesOnlyTheHolderItself)
{
    open(100);
    draw(alice, 1, 50, bob);
    witness.onRaise(carol, { { grantOf(alice, 1), Tokens { 10 } } }, actions);
    EXPECT_TRUE(only<SendCeilingsRefused>());
}

TEST_F(WitnessTest, SealsAtTheHighestCeilingAndAcknowledgesNoMore)
{
    open(100);
    draw(alice, 1, 50, bob);
    raise(10);
    raise(5);
    actions.clear();
    witness.suspect(alice, actions);
    EXPECT_EQ(seal().value().ceiling, Tokens { 10 });
    raise(10);
    EXPECT_TRUE(only<SendCeilingsRefused>());
    witness.suspect(alice, actions);
    EXPECT_EQ(actions.size(), 1U);
}

TEST_F(WitnessTest, SealsWhatLandsAfterTheSuspicion)
{
    open(100);
    witness.suspect(alice, actions);
    EXPECT_TRUE(actions.empty());
    draw(alice, 1, 50, bob);
    read();
    EXPECT_EQ(seal().value().ceiling, Tokens { 0 });
}

// Symptom: a holder is above the sealed ceiling. Sequence: an acknowledgement is under way, the witness is changed and
// changed back, the acknowledgement arrives, the grant is sealed. Cause: a witness that forgot its earlier tenure.
TEST_F(WitnessTest, RemembersAnEarlierTenure)
{
    open(100);
    draw(alice, 1, 50, bob);
    raise(30);
    take(alice, ChangeWitness { grantOf(alice, 1), carol, Tokens { 10 } });
    read();
    take(alice, ChangeWitness { grantOf(alice, 1), bob, Tokens { 10 } });
    read();
    witness.suspect(alice, actions);
    EXPECT_EQ(seal().value().ceiling, Tokens { 30 });
}

} // namespace swiftlift::ledger
