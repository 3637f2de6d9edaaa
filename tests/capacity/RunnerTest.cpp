#include "capacity/Runner.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <sstream>

#include <gtest/gtest.h>

#include "capacity/CoreWorld.h"
#include "capacity/Report.h"

namespace swiftlift::capacity {
namespace {

    using namespace std::chrono_literals;

    class Doubling final : public Axis {
    public:
        Doubling()
            : Axis("test.doubling", "things", { 1, 2, 4, 8 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            return { { "twice", "B", 2.0 * static_cast<double>(size) }, { "constant", "us", 7 } };
        }
    };

    [[nodiscard]] Axes testAxes()
    {
        Axes axes;
        axes.push_back(std::make_unique<Doubling>());
        return axes;
    }

    TEST(Runner, MakesASeriesOfEachMeasure)
    {
        std::ostringstream progress;
        const auto series = runAxes(testAxes(), {}, progress);
        ASSERT_EQ(series.size(), 2U);
        EXPECT_EQ(series[0].measure, "twice");
        EXPECT_EQ(series[0].values, (std::vector<double> { 2, 4, 8, 16 }));
        EXPECT_DOUBLE_EQ(series[0].fit.slope, 2);
        EXPECT_DOUBLE_EQ(series[1].fit.intercept, 7);
    }

    /** Needs more in each run, as when other work disturbs it. */
    class Disturbed final : public Axis {
    public:
        Disturbed()
            : Axis("test.disturbed", "things", { 1, 2, 3, 4 })
        {
        }

        [[nodiscard]] Measurements run(std::size_t size) const override
        {
            const auto disturbance = static_cast<double>(runs_++ % 3);
            return { { "time", "us", static_cast<double>(size) + disturbance } };
        }

    private:
        mutable int runs_ = 0;
    };

    TEST(Runner, TakesTheLeastDisturbedRun)
    {
        Axes axes;
        axes.push_back(std::make_unique<Disturbed>());
        std::ostringstream progress;
        const auto series = runAxes(axes, { 3, "" }, progress);
        ASSERT_EQ(series.size(), 1U);
        EXPECT_EQ(series[0].values, (std::vector<double> { 1, 2, 3, 4 }));
    }

    TEST(Runner, RunsOnlyTheAxesAskedFor)
    {
        std::ostringstream progress;
        EXPECT_TRUE(runAxes(testAxes(), { 1, "fold." }, progress).empty());
        EXPECT_EQ(runAxes(testAxes(), { 1, "test." }, progress).size(), 2U);
    }

    TEST(Report, WritesALineForEachPoint)
    {
        std::ostringstream progress;
        std::ostringstream csv;
        writeCsv(csv, runAxes(testAxes(), { 1, "" }, progress));
        const std::string text = csv.str();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 9);
        EXPECT_NE(text.find("test.doubling,things,twice,B,8,16,2,"), std::string::npos);
    }

    TEST(CoreWorld, AnswersWhatIsSentAndBillsIt)
    {
        CoreWorldSettings settings;
        settings.requestsPerSecond = 20;
        CoreWorld world(settings);
        world.run(5s);
        world.resetCounts();
        world.run(10s);
        EXPECT_EQ(world.counts().answered, 200);
        EXPECT_EQ(world.counts().otherEnds, 0);
        EXPECT_GT(world.counts().appendedBytes, 200 * 16);
        EXPECT_GT(world.microseconds(), 0);
    }

} // namespace
} // namespace swiftlift::capacity
