#include <gtest/gtest.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

#include "ledger/LoanReplay.h"

namespace swiftlift::ledger {

namespace {

    using namespace std::chrono_literals;

    /** Length of a replay, to convert counts into rates. */
    constexpr std::uint64_t replaySeconds = 36;

    /** A way of borrowing. */
    struct Way {
        std::string name;
        LoanTerms terms;
    };

    LoanTerms termsOf(std::uint32_t asksAtOnce, double sizeSeconds, std::optional<double> keptSeconds)
    {
        LoanTerms terms;
        terms.asksAtOnce = asksAtOnce;
        terms.sizeSeconds = sizeSeconds;
        terms.keptSeconds = keptSeconds;
        return terms;
    }

    std::vector<Way> ways()
    {
        return { { "nearest", {} }, { "several", termsOf(8, 2, std::nullopt) }, { "keep 0.5 s", termsOf(1, 2, 0.5) },
            { "several, 2 s", termsOf(8, 2, 2) }, { "several, 0.5 s", termsOf(8, 2, 0.5) },
            { "8 at once, 1 s", termsOf(8, 1, 0.5) }, { "demand", demandLoanTerms() } };
    }

    std::vector<ReplayScenario> scenarios()
    {
        constexpr std::int64_t budget = 12'000'000;
        return { { "91 routers", 91, budget, 40 }, { "91, little left", 91, budget, 50 },
            { "91, 33k each", 91, budget / 2, 20 }, { "91, 132k each", 91, budget * 2, 100 },
            { "two compete", 91, budget, 50, { 40, 40 } }, { "load moves", 91, budget, 50, { 12, 8, 8 }, 8s },
            { "borrower fails", 91, budget, 50, { 12, 8, 8 }, {}, 28500ms }, { "6 routers", 6, budget, 40 },
            { "6, one fails", 6, budget, 50, { 12, 8, 8 }, {}, 28500ms }, { "6, little left", 6, budget, 50 } };
    }

    /** @brief Adds the counts of a further seed. */
    void add(ReplayResult& sum, const ReplayResult& result)
    {
        sum.requests += result.requests;
        sum.atOnce += result.atOnce;
        sum.afterWait += result.afterWait;
        sum.refused += result.refused;
        sum.refusedElsewhere += result.refusedElsewhere;
        sum.loans += result.loans;
        sum.loanMessages += result.loanMessages;
        sum.peakLoanMessages = std::max(sum.peakLoanMessages, result.peakLoanMessages);
        sum.lostLoans += result.lostLoans;
        sum.lost += result.lost;
        for (const auto& [router, count] : result.refusedByRouter)
            sum.refusedByRouter[router] += count;
        for (const auto& [second, count] : result.refusedBySecond)
            sum.refusedBySecond[second] += count;
    }

    ReplayResult replaySeeds(const ReplayScenario& scenario, const LoanTerms& terms, std::uint64_t seeds)
    {
        ReplayResult sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            add(sum, replay(scenario, terms, seed));
        return sum;
    }

    void printHeader()
    {
        std::cout << std::left << std::setw(18) << "scenario" << std::setw(18) << "way" << std::right;
        for (const std::string_view column :
            { "requests", "at once", "waited", "refused", "elsewh.", "loans", "msg/s", "peak/s", "lent lost", "lost" })
            std::cout << std::setw(10) << column;
        std::cout << "  refused by router; by second\n";
    }

    void print(const ReplayScenario& scenario, const Way& way, const ReplayResult& result, std::uint64_t seeds)
    {
        std::cout << std::left << std::setw(18) << scenario.name << std::setw(18) << way.name << std::right;
        for (const std::uint64_t count :
            { result.requests, result.atOnce, result.afterWait, result.refused, result.refusedElsewhere, result.loans,
                result.loanMessages / replaySeconds / seeds, result.peakLoanMessages })
            std::cout << std::setw(10) << count;
        std::cout << std::setw(10) << result.lostLoans << std::setw(10) << result.lost << ' ';
        std::uint64_t others = 0;
        for (const auto& [router, count] : result.refusedByRouter) {
            if (router < scenario.heavy.size())
                std::cout << ' ' << router << ':' << count;
            else
                others += count;
        }
        std::cout << " others:" << others << ';';
        for (const auto& [second, count] : result.refusedBySecond)
            std::cout << ' ' << second << "s:" << count;
        std::cout << '\n';
    }

    void compare(const std::vector<ReplayScenario>& compared, const std::vector<Way>& comparedWays, std::uint64_t seeds)
    {
        printHeader();
        for (const ReplayScenario& scenario : compared) {
            for (const Way& way : comparedWays)
                print(scenario, way, replaySeeds(scenario, way.terms, seeds), seeds);
        }
    }

} // namespace

// Failure: while the log is unreachable, a router that gets most of an account's requests refuses them although other
// routers hold tokens, because it asks them one by one and each lends only half of what it has.
TEST(LoanReplayTest, AsksByDemandRefuseLessInALargeFleet)
{
    const std::vector<ReplayScenario> all = scenarios();
    const ReplayScenario& large = all.front();
    const std::vector<Way> compared { ways().front(), ways().back() };
    compare({ large, all.back() }, compared, 1);
    const ReplayResult nearest = replaySeeds(large, LoanTerms {}, 2);
    const ReplayResult demand = replaySeeds(large, demandLoanTerms(), 2);
    EXPECT_LT(demand.refusedElsewhere * 2, nearest.refusedElsewhere);
    EXPECT_LE(demand.loanMessages, nearest.loanMessages);
}

// Compares all ways in all scenarios; for changes of the terms. Takes a minute.
TEST(LoanReplayTest, DISABLED_ComparesAllWays) { compare(scenarios(), ways(), 3); }

} // namespace swiftlift::ledger
