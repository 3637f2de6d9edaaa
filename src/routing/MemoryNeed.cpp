#include "routing/MemoryNeed.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace swiftlift::routing::internal {

namespace {

    /** A new sample has a weight of one in so many, after as many samples. */
    constexpr double smoothing = 256;
    /** Standard deviations by which the sum of the requests may exceed its mean. */
    constexpr double margin = 3;
    /** More requests than any engine runs at once. */
    constexpr double maxRequests = 1'000'000;

} // namespace

void MemoryNeed::add(Tokens memory)
{
    assert(memory > Tokens {} && "a request without a known memory shows nothing");
    const auto sample = static_cast<double>(memory.value());
    samples_ = std::min(samples_ + 1, smoothing);
    const double difference = sample - mean_;
    mean_ += difference / samples_;
    // The first sample differs from nothing.
    const double square = samples_ > 1 ? difference * difference : 0;
    variance_ += (square - variance_) / samples_;
}

// Solves count * mean + margin * deviation * sqrt(count) = memory for the count.
std::optional<std::uint32_t> MemoryNeed::requestsIn(Tokens memory) const
{
    if (samples_ < 1) {
        return std::nullopt;
    }
    const double spread = margin * std::sqrt(variance_);
    const double available = 4 * mean_ * static_cast<double>(memory.value());
    const double root = (std::sqrt(spread * spread + available) - spread) / (2 * mean_);
    return static_cast<std::uint32_t>(std::clamp(root * root, 1.0, maxRequests));
}

} // namespace swiftlift::routing::internal
