#include "capacity/Fit.h"

#include <gtest/gtest.h>

namespace swiftlift::capacity {
namespace {

    TEST(Fit, FindsTheLineThatValuesLieOn)
    {
        const Fit fit = fitLine({ 10, 20, 40, 80 }, { 35, 65, 125, 245 });
        EXPECT_NEAR(fit.slope, 3, 1e-9);
        EXPECT_NEAR(fit.intercept, 5, 1e-9);
        EXPECT_NEAR(fit.rSquared, 1, 1e-9);
        EXPECT_NEAR(fit.largestResidual, 0, 1e-12);
    }

    TEST(Fit, TellsHowFarOffTheWorstValueIs)
    {
        const Fit fit = fitLine({ 1, 2, 3, 4 }, { 1, 2, 3, 8 });
        EXPECT_NEAR(fit.slope, 2.2, 1e-9);
        EXPECT_NEAR(fit.intercept, -2, 1e-9);
        EXPECT_LT(fit.rSquared, 0.9);
        EXPECT_NEAR(fit.largestResidual, 1.6 / 8, 1e-9);
    }

    TEST(Fit, TakesAConstantForALine)
    {
        const Fit fit = fitLine({ 1, 2, 3, 4 }, { 0, 0, 0, 0 });
        EXPECT_DOUBLE_EQ(fit.slope, 0);
        EXPECT_DOUBLE_EQ(fit.largestResidual, 0);
    }

} // namespace
} // namespace swiftlift::capacity
