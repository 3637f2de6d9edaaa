#include "capacity/Fit.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>
#include <tuple>

#include <boost/math/statistics/linear_regression.hpp>

namespace swiftlift::capacity {

namespace {

    [[nodiscard]] double largestResidual(
        const Fit& fit, const std::vector<double>& sizes, const std::vector<double>& values)
    {
        double largestValue = 0;
        double largest = 0;
        for (std::size_t index = 0; index < sizes.size(); ++index) {
            const double residual = values[index] - (fit.intercept + fit.slope * sizes[index]);
            largest = std::max(largest, std::abs(residual));
            largestValue = std::max(largestValue, std::abs(values[index]));
        }
        return largestValue > 0 ? largest / largestValue : 0;
    }

} // namespace

Fit fitLine(const std::vector<double>& sizes, const std::vector<double>& values)
{
    assert(sizes.size() == values.size() && "one value for each size");
    Fit fit;
    std::tie(fit.intercept, fit.slope, fit.rSquared)
        = boost::math::statistics::simple_ordinary_least_squares_with_R_squared(sizes, values);
    fit.largestResidual = largestResidual(fit, sizes, values);
    return fit;
}

} // namespace swiftlift::capacity
