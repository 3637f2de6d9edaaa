#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace swiftlift::load {

/** Count, mean, percentiles and maximum (`most`) of a set of durations, in milliseconds. */
struct Percentiles {
    std::size_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double most = 0;
};

/** @return Exact percentiles by the nearest-rank method; all zero if there are no values. */
[[nodiscard]] Percentiles computePercentiles(std::vector<double> milliseconds);

[[nodiscard]] double toMilliseconds(std::chrono::microseconds time) noexcept;

} // namespace swiftlift::load
