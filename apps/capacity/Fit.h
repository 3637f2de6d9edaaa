#pragma once

#include <vector>

namespace swiftlift::capacity {

/** A straight line through the values of an axis. */
struct Fit {
    double slope = 0;
    double intercept = 0;
    /** 1 for values that lie on the line. */
    double rSquared = 0;
    /** Largest distance of a value from the line, relative to the largest value. */
    double largestResidual = 0;
};

/**
 * @param sizes At least two different ones.
 * @param values One for each size.
 * @return The least-squares line.
 */
[[nodiscard]] Fit fitLine(const std::vector<double>& sizes, const std::vector<double>& values);

} // namespace swiftlift::capacity
