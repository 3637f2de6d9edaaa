#include <gtest/gtest.h>

#include <iostream>

#include "ledger/ExploreSearch.h"

namespace swiftlift::ledger::explore {

namespace {

    constexpr std::size_t maxStates = 400'000;

    Tokens tokens(std::int64_t count) { return Tokens { count }; }

    /** Node 0 spends, and may crash at any moment; node 1 seals the grants of node 0 at any moment and spends the rest.
     */
    Setup sealingSetup()
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

    /** Node 0 changes from witness 1 to witness 2; either witness seals the grants of node 0 at any moment. */
    Setup changingWitnessSetup()
    {
        Setup setup;
        setup.requests = { { 0, 1, tokens(1), tokens(1) }, { 0, 2, tokens(2), tokens(2) } };
        setup.headroom = 1;
        setup.maxDrawn = 4;
        setup.initialRequests = { 0 };
        setup.witnesses = { { 1, 2 }, { std::nullopt }, { std::nullopt } };
        setup.maySuspect = { { 1, 0 }, { 2, 0 } };
        setup.ticks = { 1, 0, 0 };
        return setup;
    }

    /**
     * Node 1 can't reach the log and borrows from node 0, which closes its grants as soon as the rules allow. The
     * request of key 1 runs at both nodes.
     */
    Setup lendingSetup()
    {
        Setup setup;
        setup.bought = 4;
        setup.requests
            = { { 0, 1, tokens(1), tokens(1) }, { 1, 1, tokens(2), tokens(2) }, { 1, 2, tokens(2), tokens(1) } };
        setup.initialRequests = { 0 };
        setup.withoutLog = { 1 };
        setup.witnesses = { { std::nullopt }, { std::nullopt } };
        setup.mayStop = { 0 };
        setup.ticks = { 0, 1 };
        return setup;
    }

    /** Like `lendingSetup`, with a witnessed grant that node 2 seals at any moment. */
    Setup lendingSealedSetup()
    {
        Setup setup;
        setup.bought = 4;
        setup.headroom = 2;
        setup.initialRequests = { 0 };
        setup.requests = { { 0, 1, tokens(1), tokens(1) }, { 1, 2, tokens(2), tokens(2) } };
        setup.withoutLog = { 1 };
        setup.witnesses = { { 2 }, { 2 }, { std::nullopt } };
        setup.mayCrash = { 0 };
        setup.maySuspect = { { 2, 0 } };
        setup.ticks = { 0, 1, 0 };
        return setup;
    }

    /**
     * Like `lendingSealedSetup`, in a fleet whose witnesses never close grants; neither lender nor borrower reaches the
     * log.
     */
    Setup lendingSealOnlySetup()
    {
        Setup setup = lendingSealedSetup();
        setup.withoutLog = { 0, 1 };
        setup.witnessesClose = false;
        return setup;
    }

    /** Node 1 can't reach the log and asks nodes 0 and 2 at once; node 0 closes its grants as soon as the rules allow.
     */
    Setup severalLendersSetup()
    {
        Setup setup;
        setup.bought = 8;
        setup.initialRequests = { 0, 1 };
        setup.requests = { { 0, 1, tokens(1), tokens(1) }, { 2, 2, tokens(1), tokens(1) },
            { 1, 3, tokens(2), tokens(2) }, { 1, 4, tokens(2), tokens(1) } };
        setup.withoutLog = { 1 };
        setup.witnesses = { { std::nullopt }, { std::nullopt }, { std::nullopt } };
        setup.mayStop = { 0 };
        setup.ticks = { 0, 1, 0 };
        setup.loans = demandLoanTerms();
        return setup;
    }

    /** Fault: the witness acknowledges every raise, even of a sealed grant. */
    struct AcknowledgesAfterSeal final : FaultInjection {
        LedgerActions onRaise(Node&, const SendRaise& raise, Incarnation from, LedgerActions) const override
        {
            return { SendCeilingsAcked { from, raise.ceilings } };
        }
    };

    /** Fault: the holder treats a draw as admitted as soon as it is emitted. */
    struct SpendsBeforeReading final : FaultInjection {
        std::optional<Effect> assumedEffect(const Node&, const Entry& entry) const override
        {
            const auto* const draw = std::get_if<Draw>(&entry);
            if (!draw)
                return {};
            return DrawDecided { draw->grant, draw->budget, draw->wanted, {}, {} };
        }
    };

    /** Fault: the holder treats every acknowledgement as one of the current witness. */
    struct AcceptsOldWitness final : FaultInjection {
        Incarnation acknowledgedBy(const Node& node, const SendCeilingsAcked& acked, Incarnation from) const override
        {
            const auto grant = node.fold->grant(acked.ceilings.front().grant);
            return grant ? grant->witness : from;
        }
    };

    /** Fault: LoanDone reports that nothing was billed. */
    struct ReportsNoBills final : FaultInjection {
        Tokens billedOnLoan(const SendLoanDone&) const override { return {}; }
    };

    void expectSound(const Setup& setup, std::size_t depth)
    {
        const SearchResult result = search(setup, FaultInjection {}, depth, maxStates);
        std::cout << textOf(result) << '\n';
        EXPECT_EQ(result.violation, "") << textOf(result);
        EXPECT_TRUE(result.complete) << textOf(result);
    }

    void expectCaught(const Setup& setup, const FaultInjection& faults, std::size_t depth, CheckedProperty property)
    {
        const SearchResult result = search(setup, faults, depth, maxStates, property);
        std::cout << textOf(result) << '\n';
        EXPECT_NE(result.violation, "") << textOf(result);
    }

} // namespace

TEST(ExploreTest, SealAtAnyMoment) { expectSound(sealingSetup(), 14); }

TEST(ExploreTest, ChangeOfWitnessAgainstSeal) { expectSound(changingWitnessSetup(), 14); }

TEST(ExploreTest, LoanWhileLenderCloses) { expectSound(lendingSetup(), 14); }

TEST(ExploreTest, LoanOfSealedGrant) { expectSound(lendingSealedSetup(), 14); }

TEST(ExploreTest, LoanInAnOutageWhereWitnessesOnlySeal) { expectSound(lendingSealOnlySetup(), 14); }

// Failure: a borrower that asks two lenders for one budget spends or bills a loan of one as if it were the other's.
TEST(ExploreTest, LoansOfSeveralLendersAtOnce) { expectSound(severalLendersSetup(), 10); }

// Injected fault: the witness acknowledges raises after it has sealed. Another holder draws the rest, then the paused
// holder's raise is acknowledged, and 8 of 6 tokens are spent.
TEST(ExploreTest, FindsWitnessThatAcknowledgesAfterSuspicion)
{
    expectCaught(sealingSetup(), AcknowledgesAfterSeal {}, 24, CheckedProperty::OverspendOnly);
}

// Injected fault: a grant is used before its draw is read back. Both holders draw and spend the same tokens, and one of
// the draws is refused.
TEST(ExploreTest, FindsHolderThatSpendsBeforeReadingBack)
{
    expectCaught(sealingSetup(), SpendsBeforeReading {}, 24, CheckedProperty::OverspendOnly);
}

// Injected fault: the holder accepts an acknowledgement of the old witness after the change of witness. The new witness
// seals at the ceiling of the change, which the holder has exceeded.
TEST(ExploreTest, FindsHolderThatAcceptsOldWitness)
{
    expectCaught(changingWitnessSetup(), AcceptsOldWitness {}, 24, CheckedProperty::AnyViolation);
}

// Injected fault: LoanDone reports no bills. The lender closes the grant, the borrower's bill lands, and the fold
// refuses the bill.
TEST(ExploreTest, FindsLenderThatClosesBeforeBills)
{
    expectCaught(lendingSetup(), ReportsNoBills {}, 24, CheckedProperty::AnyViolation);
}

} // namespace swiftlift::ledger::explore
