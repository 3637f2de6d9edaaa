#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "capacity/Axis.h"
#include "capacity/Fit.h"

namespace swiftlift::capacity {

/** A measure of an axis over all its sizes. */
struct Series {
    std::string axis;
    std::string axisUnit;
    std::string measure;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
    Fit fit;
};

struct RunSettings {
    /** Runs of each size; the least value of each measure counts. */
    int repeats = 3;
    /** Only axes whose names start with this. */
    std::string only;
};

/** @return A series for each measure; progress goes to `progress`. */
[[nodiscard]] std::vector<Series> runAxes(const Axes& axes, const RunSettings& settings, std::ostream& progress);

} // namespace swiftlift::capacity
