#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

#include "ledger/ExploreWorld.h"

namespace swiftlift::ledger::explore {

namespace {

    constexpr std::size_t nodes = 3;
    constexpr int steps = 400;

    Setup longRun()
    {
        Setup setup;
        setup.bought = 40;
        setup.budgets = 2;
        setup.chunk = 9;
        setup.headroom = 3;
        setup.maxFree = 6;
        for (std::uint64_t index = 0; index < 60; ++index) {
            const auto amount = static_cast<std::int64_t>(index % 5 + 1);
            // The request of every fourth key runs twice, at different nodes.
            const std::uint64_t key = index % 4 == 0 ? index / 2 : index;
            setup.requests.push_back({ index % nodes, key, Tokens { amount },
                Tokens { std::max<std::int64_t>(amount - 1, 1) }, static_cast<std::size_t>(key % 2) });
        }
        setup.withoutLog = { 2 };
        setup.witnesses = { { 1, 2, std::nullopt, 1 }, { 0, std::nullopt, 2, 0 }, { 0, 1 } };
        setup.mayCrash = { 0 };
        setup.mayStop = { 1 };
        setup.maySuspect = { { 1, 0 }, { 2, 1 }, { 0, 2 } };
        setup.ticks = { 200, 200, 200 };
        setup.mayRelease = true;
        return setup;
    }

    /** Chooses the steps of one run at random, weighted so that most of them make progress. */
    class Driver {
    public:
        explicit Driver(std::uint64_t seed)
            : random_(seed)
        {
        }

        Step pick(const World& world)
        {
            const std::vector<Step> choices = world.enabled();
            std::vector<double> weights;
            for (const Step& step : choices)
                weights.push_back(weightOf(world, step));
            const Step step
                = choices.at(std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_));
            if (step.kind == StepKind::Deliver)
                delivered_.insert(world.describe(step));
            return step;
        }

    private:
        /** Crashes, stops, suspicions, changes of witness and repeated deliveries of a message are rare. */
        double weightOf(const World& world, const Step& step) const
        {
            switch (step.kind) {
            case StepKind::Crash:
            case StepKind::Stop:
            case StepKind::Suspect:
                return 0.01;
            case StepKind::Witness:
                return 0.1;
            case StepKind::Tick:
                return 0.3;
            case StepKind::Request:
                return 0.1;
            case StepKind::Deliver:
                return delivered_.contains(world.describe(step)) ? 0.01 : 2;
            case StepKind::Release:
                return 0.2;
            default:
                return 2;
            }
        }

        std::mt19937_64 random_;
        std::set<std::string> delivered_;
    };

    bool contains(const std::vector<std::string>& schedule, const std::string& what)
    {
        return std::ranges::any_of(schedule, [&](const std::string& line) { return line.find(what) != line.npos; });
    }

    void run(const Setup& setup)
    {
        const FaultInjection noFaults;
        World world(setup, noFaults);
        Driver driver(*rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
        std::vector<std::string> schedule;
        for (int step = 0; step < steps && !world.enabled().empty(); ++step) {
            const Step next = driver.pick(world);
            schedule.push_back(world.describe(next));
            world.execute(next);
            if (const std::string violation = world.violation(); !violation.empty()) {
                for (const std::string& line : schedule)
                    std::cout << "  " << line << '\n';
                RC_FAIL(violation);
            }
        }
        for (const std::string what :
            { "answer", "land bill", "land seal", "land witness", "land close", "loan given", "loan done" })
            RC_CLASSIFY(contains(schedule, what), what);
    }

} // namespace

TEST(HolderPropertyTest, NoLongRunOverspends)
{
    const auto setup = longRun();
    EXPECT_TRUE(rc::check("three holders, two budgets, loans, changes of witness", [&] { run(setup); }));
}

TEST(HolderPropertyTest, NoLongRunOverspendsWhenSeveralLendersAreAsked)
{
    auto setup = longRun();
    setup.loans = demandLoanTerms();
    setup.withoutLog = { 1, 2 };
    EXPECT_TRUE(rc::check("three holders, two of them ask several lenders at once", [&] { run(setup); }));
}

} // namespace swiftlift::ledger::explore
