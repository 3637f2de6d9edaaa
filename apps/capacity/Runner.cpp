#include "capacity/Runner.h"

#include <algorithm>
#include <cassert>
#include <ostream>

namespace swiftlift::capacity {

namespace {

    // Other work on the machine can only add to processor time, so the least value is the least disturbed one.
    [[nodiscard]] Measurements leastOf(const std::vector<Measurements>& runs)
    {
        Measurements result = runs.front();
        for (const auto& run : runs) {
            assert(run.size() == result.size() && "the same measures in every run");
            for (std::size_t index = 0; index < result.size(); ++index) {
                result[index].value = std::min(result[index].value, run[index].value);
            }
        }
        return result;
    }

    [[nodiscard]] Measurements runSize(const Axis& axis, std::size_t size, int repeats)
    {
        std::vector<Measurements> runs;
        runs.reserve(static_cast<std::size_t>(repeats));
        for (int repeat = 0; repeat < repeats; ++repeat) {
            runs.push_back(axis.run(size));
        }
        return leastOf(runs);
    }

    void runAxis(const Axis& axis, int repeats, std::vector<Series>& result)
    {
        const std::size_t first = result.size();
        for (const std::size_t size : axis.sizes()) {
            const Measurements measurements = runSize(axis, size, repeats);
            if (result.size() == first) {
                for (const auto& [measure, unit, value] : measurements) {
                    result.push_back({ axis.name(), axis.unit(), measure, unit, {}, {}, {} });
                }
            }
            for (std::size_t index = 0; index < measurements.size(); ++index) {
                result[first + index].sizes.push_back(static_cast<double>(size));
                result[first + index].values.push_back(measurements[index].value);
            }
        }
        for (std::size_t index = first; index < result.size(); ++index) {
            result[index].fit = fitLine(result[index].sizes, result[index].values);
        }
    }

} // namespace

std::vector<Series> runAxes(const Axes& axes, const RunSettings& settings, std::ostream& progress)
{
    std::vector<Series> result;
    for (const auto& axis : axes) {
        if (!axis->name().starts_with(settings.only)) {
            continue;
        }
        progress << "running " << axis->name() << std::endl;
        runAxis(*axis, settings.repeats, result);
    }
    return result;
}

} // namespace swiftlift::capacity
