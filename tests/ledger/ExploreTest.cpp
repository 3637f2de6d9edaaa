#include <gtest/gtest.h>

#include <iostream>

#include "ledger/ExploreSearch.h"

namespace swiftlift::ledger::explore {

namespace {

    constexpr std::size_t maxStates = 400'000;

    Tokens tokens(std::int64_t count) { return Tokens { count }; }

    /** Node 0 spends, crashes or pauses; node 1 seals it at any moment and spends the rest. */
    Setup sealing()
    {
        Setup setup;
        setup.requests
            = { { 0, 1, tokens(2), tokens(2) }, { 0, 2, tokens(2), tokens(2) }, { 1, 3, tokens(5), tokens(5) } };
        setup.witnesses = { { 1 }, { std::nullopt } };
        setup.mayCrash = { 0 };
        setup.mayRelease = true;
        setup.maySuspect = { { 1, 0 } };
        setup.ticks = { 0, 0 };
        return setup;
    }

    /** Node 0 changes from witness 1 to witness 2; either seals it at any moment. */
    Setup changingWitness()
    {
        Setup setup;
        setup.requests = { { 0, 1, tokens(1), tokens(1) }, { 0, 2, tokens(2), tokens(2) } };
        setup.headRoom = 1;
        setup.mostDrawn = 4;
        setup.before = { 0 };
        setup.witnesses = { { 1, 2 }, { std::nullopt }, { std::nullopt } };
        setup.maySuspect = { { 1, 0 }, { 2, 0 } };
        setup.ticks = { 1, 0, 0 };
        return setup;
    }

    /** Node 1 is cut off from the log and borrows from node 0, which closes as soon as it may. Key 1 runs at both. */
    Setup lending()
    {
        Setup setup;
        setup.bought = 4;
        setup.requests
            = { { 0, 1, tokens(1), tokens(1) }, { 1, 1, tokens(2), tokens(2) }, { 1, 2, tokens(2), tokens(1) } };
        setup.before = { 0 };
        setup.cutOff = { 1 };
        setup.witnesses = { { std::nullopt }, { std::nullopt } };
        setup.mayStop = { 0 };
        setup.ticks = { 0, 1 };
        return setup;
    }

    /** As `lending`, with a witnessed grant that node 2 seals at any moment. */
    Setup lendingSealed()
    {
        Setup setup;
        setup.bought = 4;
        setup.headRoom = 2;
        setup.before = { 0 };
        setup.requests = { { 0, 1, tokens(1), tokens(1) }, { 1, 2, tokens(2), tokens(2) } };
        setup.cutOff = { 1 };
        setup.witnesses = { { 2 }, { 2 }, { std::nullopt } };
        setup.mayCrash = { 0 };
        setup.maySuspect = { { 2, 0 } };
        setup.ticks = { 0, 1, 0 };
        return setup;
    }

    /** As `lendingSealed`, where witnesses only seal: lender and borrower are both cut off from the log. */
    Setup lendingWhereWitnessesSeal()
    {
        Setup setup = lendingSealed();
        setup.cutOff = { 0, 1 };
        setup.witnessesClose = false;
        return setup;
    }

    /** Acknowledges whatever it is asked, sealed or not. */
    struct NeverRefuses final : Behaviour {
        LedgerActions onRaise(Node&, const SendRaise& raise, Incarnation from, LedgerActions) const override
        {
            return { SendCeilingsAcked { from, raise.ceilings } };
        }
    };

    /** Takes a draw for admitted as soon as it is asked for. */
    struct SpendsBeforeReading final : Behaviour {
        std::optional<Effect> takenForRead(const Node&, const Entry& entry) const override
        {
            const auto* const draw = std::get_if<Draw>(&entry);
            if (!draw)
                return {};
            return DrawDecided { draw->grant, draw->budget, draw->wanted, {}, {} };
        }
    };

    /** Takes any acknowledgement for one of the present witness. */
    struct TakesOldWitness final : Behaviour {
        Incarnation acknowledgedBy(const Node& node, const SendCeilingsAcked& acked, Incarnation from) const override
        {
            const auto grant = node.fold->grant(acked.ceilings.front().grant);
            return grant ? grant->witness : from;
        }
    };

    /** Tells the lender that nothing was billed. */
    struct HidesBills final : Behaviour {
        Tokens billedOnLoan(const SendLoanDone&) const override { return {}; }
    };

    void expectSound(const Setup& setup, std::size_t depth)
    {
        const SearchResult result = search(setup, Behaviour {}, depth, maxStates);
        std::cout << textOf(result) << '\n';
        EXPECT_EQ(result.violation, "") << textOf(result);
        EXPECT_TRUE(result.complete) << textOf(result);
    }

    void expectCaught(const Setup& setup, const Behaviour& faulty, std::size_t depth, Look look)
    {
        const SearchResult result = search(setup, faulty, depth, maxStates, look);
        std::cout << textOf(result) << '\n';
        EXPECT_NE(result.violation, "") << textOf(result);
    }

} // namespace

TEST(ExploreTest, SealAtAnyMoment) { expectSound(sealing(), 14); }

TEST(ExploreTest, ChangeOfWitnessAgainstSeal) { expectSound(changingWitness(), 14); }

TEST(ExploreTest, LoanWhileLenderCloses) { expectSound(lending(), 14); }

TEST(ExploreTest, LoanOfSealedGrant) { expectSound(lendingSealed(), 14); }

TEST(ExploreTest, LoanInAnOutageWhereWitnessesOnlySeal) { expectSound(lendingWhereWitnessesSeal(), 14); }

// Symptom: 8 of 6 tokens are spent. Sequence: the witness seals, the rest is drawn by another, then the witness
// acknowledges a raise of the paused holder. Cause (put in on purpose): it goes on after the suspicion.
TEST(ExploreTest, FindsWitnessThatAcknowledgesAfterSuspicion)
{
    expectCaught(sealing(), NeverRefuses {}, 24, Look::ForOverspend);
}

// Symptom: both holders spend the same tokens. Sequence: both draw, both spend, one draw is refused. Cause (put in on
// purpose): a grant is used before its draw was read back.
TEST(ExploreTest, FindsHolderThatSpendsBeforeReadingBack)
{
    expectCaught(sealing(), SpendsBeforeReading {}, 24, Look::ForOverspend);
}

// Symptom: the holder is above the sealed ceiling. Sequence: a raise of the old witness arrives after the change; the
// new witness seals at the ceiling of the change. Cause (put in on purpose): the holder takes the old one's word.
TEST(ExploreTest, FindsHolderThatTakesOldWitness)
{
    expectCaught(changingWitness(), TakesOldWitness {}, 24, Look::ForAnyViolation);
}

// Symptom: a bill is refused. Sequence: the borrower says that it is done, the lender closes, the borrower's bill
// lands. Cause (put in on purpose): the lender believes that nothing was billed.
TEST(ExploreTest, FindsLenderThatClosesBeforeBills)
{
    expectCaught(lending(), HidesBills {}, 24, Look::ForAnyViolation);
}

} // namespace swiftlift::ledger::explore
