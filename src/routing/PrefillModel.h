#pragma once

#include <cstdint>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/**
 * @brief What a prompt token that is not cached costs, measured from first tokens: the slope of a line through them,
 * with older samples fading.
 */
class PrefillModel {
public:
    explicit PrefillModel(Duration assumed)
        : assumed_(static_cast<double>(assumed.count()))
    {
    }

    /** @brief Adds a first token that had nothing waiting before it. */
    void add(Tokens uncached, Duration firstToken);

    /** @return The cost of this many tokens. */
    [[nodiscard]] Duration cost(Tokens uncached) const;

private:
    double assumed_;
    std::uint32_t samples_ = 0;
    double meanX_ = 0;
    double meanY_ = 0;
    double meanXx_ = 0;
    double meanXy_ = 0;
};

} // namespace swiftlift::routing
