#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace swiftlift::load {

/** Milliseconds. */
struct Percentiles {
    std::size_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double most = 0;
};

/** @return Exact percentiles by nearest rank; all zero without values. */
[[nodiscard]] Percentiles percentilesOf(std::vector<double> milliseconds);

[[nodiscard]] double toMilliseconds(std::chrono::microseconds time) noexcept;

} // namespace swiftlift::load
