#include "capacity/Report.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace swiftlift::capacity {

namespace {

    constexpr int significantDigits = 4;
    constexpr int axisWidth = 26;
    constexpr int measureWidth = 34;
    constexpr int numberWidth = 13;
    constexpr int percent = 100;

    void writeCell(std::ostream& out, double value) { out << std::setw(numberWidth) << value; }

} // namespace

void writeCsv(std::ostream& out, const std::vector<Series>& series)
{
    out << "axis,axis_unit,measure,unit,size,value,slope,intercept,r_squared,largest_residual\n";
    for (const auto& one : series) {
        for (std::size_t index = 0; index < one.sizes.size(); ++index) {
            out << one.axis << ',' << one.axisUnit << ',' << one.measure << ',' << one.unit << ',' << one.sizes[index]
                << ',' << one.values[index] << ',' << one.fit.slope << ',' << one.fit.intercept << ','
                << one.fit.rSquared << ',' << one.fit.largestResidual << '\n';
        }
    }
}

void writeTable(std::ostream& out, const std::vector<Series>& series)
{
    out << std::setprecision(significantDigits) << std::left << std::setw(axisWidth) << "axis"
        << std::setw(measureWidth) << "measure" << std::right << std::setw(numberWidth) << "slope"
        << std::setw(numberWidth) << "intercept" << std::setw(numberWidth) << "r2" << std::setw(numberWidth)
        << "residual %" << std::setw(numberWidth) << "largest run" << std::setw(numberWidth) << "value there" << '\n';
    for (const auto& one : series) {
        out << std::left << std::setw(axisWidth) << one.axis << std::setw(measureWidth)
            << one.measure + " [" + one.unit + "]" << std::right;
        writeCell(out, one.fit.slope);
        writeCell(out, one.fit.intercept);
        writeCell(out, one.fit.rSquared);
        writeCell(out, one.fit.largestResidual * percent);
        writeCell(out, one.sizes.back());
        writeCell(out, one.values.back());
        out << '\n';
    }
}

} // namespace swiftlift::capacity
