#include "routing/PrefillModel.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    // Weight of a new sample once there are many.
    constexpr double sampleWeight = 0.02;
    // Samples before the measured slope is used.
    constexpr std::uint32_t minSamples = 50;
    // In tokens squared. Prompts of nearly the same length don't determine a slope.
    constexpr double minVariance = 400;
    // Upper bound of the prefill time of a token, in microseconds.
    constexpr double maxPerToken = 2'000;

} // namespace

void PrefillModel::add(Tokens uncached, Duration firstToken)
{
    const auto x = static_cast<double>(uncached.value());
    const auto y = static_cast<double>(firstToken.count());
    ++samples_;
    const double weight = std::max(sampleWeight, 1.0 / samples_);
    meanX_ += weight * (x - meanX_);
    meanY_ += weight * (y - meanY_);
    meanXx_ += weight * (x * x - meanXx_);
    meanXy_ += weight * (x * y - meanXy_);
}

Duration PrefillModel::cost(Tokens uncached) const
{
    const double variance = meanXx_ - meanX_ * meanX_;
    double perToken = assumed_;
    if (samples_ >= minSamples && variance >= minVariance) {
        perToken = std::clamp((meanXy_ - meanX_ * meanY_) / variance, 0.0, maxPerToken);
    }
    return Duration { static_cast<Duration::rep>(perToken * static_cast<double>(uncached.value())) };
}

} // namespace swiftlift::routing
