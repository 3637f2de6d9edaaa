#pragma once

#include <iosfwd>
#include <vector>

#include "capacity/Runner.h"

namespace swiftlift::capacity {

/** One line for each size of each series, with the series' line repeated: for scripts/plot-capacity. */
void writeCsv(std::ostream& out, const std::vector<Series>& series);

/** One line for each series: slope, intercept, r squared, largest residual, largest size run. */
void writeTable(std::ostream& out, const std::vector<Series>& series);

} // namespace swiftlift::capacity
