#pragma once

#include <cstdint>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief Estimates the prefill time of an uncached prompt token: the slope of a regression line of the measured times
 * to first token over the number of uncached tokens, with exponentially decaying weights.
 */
class PrefillModel {
public:
    /** @param assumed Prefill time of one token until enough samples have been measured. */
    explicit PrefillModel(Duration assumed)
        : assumed_(static_cast<double>(assumed.count()))
    {
    }

    /**
     * @brief Adds a sample.
     * @param uncached Uncached tokens of the prompt.
     * @param firstToken Time to first token, measured without other requests waiting at the backend server.
     */
    void add(Tokens uncached, Duration firstToken);

    /** @return Prefill time of this many uncached tokens. */
    [[nodiscard]] Duration cost(Tokens uncached) const;

private:
    /** Assumed microseconds per token. */
    double assumed_;
    std::uint32_t samples_ = 0;
    // Weighted means; x is the number of uncached tokens, y the time to first token in microseconds.
    double meanX_ = 0;
    double meanY_ = 0;
    double meanXx_ = 0;
    double meanXy_ = 0;
};

} // namespace swiftlift::routing
