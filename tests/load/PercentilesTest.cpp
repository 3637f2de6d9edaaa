#include "load/Percentiles.h"

#include <gtest/gtest.h>

namespace swiftlift::load {
namespace {

    TEST(Percentiles, AreZeroWithoutValues)
    {
        const Percentiles none = computePercentiles({});
        EXPECT_EQ(none.count, 0U);
        EXPECT_EQ(none.p99, 0);
    }

    TEST(Percentiles, AreExactByNearestRank)
    {
        std::vector<double> values;
        for (int value = 200; value >= 1; --value) {
            values.push_back(value);
        }
        const Percentiles percentiles = computePercentiles(values);
        EXPECT_EQ(percentiles.count, 200U);
        EXPECT_EQ(percentiles.p50, 100);
        EXPECT_EQ(percentiles.p95, 190);
        EXPECT_EQ(percentiles.p99, 198);
        EXPECT_EQ(percentiles.most, 200);
        EXPECT_DOUBLE_EQ(percentiles.mean, 100.5);
    }

    TEST(Percentiles, OfOneValueAreThatValue)
    {
        const Percentiles percentiles = computePercentiles({ 7 });
        EXPECT_EQ(percentiles.p50, 7);
        EXPECT_EQ(percentiles.p99, 7);
    }

} // namespace
} // namespace swiftlift::load
