#include "load/Percentiles.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace swiftlift::load {

namespace {

    constexpr double microsecondsPerMillisecond = 1e3;

    [[nodiscard]] double nearestRank(std::vector<double>& values, double share)
    {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
        const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

} // namespace

Percentiles computePercentiles(std::vector<double> milliseconds)
{
    if (milliseconds.empty()) {
        return {};
    }
    Percentiles result;
    result.count = milliseconds.size();
    result.mean
        = std::accumulate(milliseconds.begin(), milliseconds.end(), 0.0) / static_cast<double>(milliseconds.size());
    result.p50 = nearestRank(milliseconds, 0.50);
    result.p95 = nearestRank(milliseconds, 0.95);
    result.p99 = nearestRank(milliseconds, 0.99);
    result.most = *std::max_element(milliseconds.begin(), milliseconds.end());
    return result;
}

double toMilliseconds(std::chrono::microseconds time) noexcept
{
    return static_cast<double>(time.count()) / microsecondsPerMillisecond;
}

} // namespace swiftlift::load
