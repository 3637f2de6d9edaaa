#include "routing/PrefillModel.h"

#include <algorithm>

namespace swiftlift::routing {

namespace {

    constexpr double sampleWeight = 0.02;
    constexpr std::uint32_t samplesNeeded = 50;
    // Prompts of nearly one length tell nothing about a slope.
    constexpr double leastVariance = 400;
    constexpr double dearestToken = 2'000;

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
    if (samples_ >= samplesNeeded && variance >= leastVariance) {
        perToken = std::clamp((meanXy_ - meanX_ * meanY_) / variance, 0.0, dearestToken);
    }
    return Duration { static_cast<Duration::rep>(perToken * static_cast<double>(uncached.value())) };
}

} // namespace swiftlift::routing
