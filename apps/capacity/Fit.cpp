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

double median(std::vector<double> values)
{
    assert(!values.empty() && "a median of nothing");
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace swiftlift::capacity
