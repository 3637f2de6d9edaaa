#pragma once

#include "common/Types.h"

namespace swiftlift::standins {

/** Token bucket: so many appends a second, a quarter of a second's worth at once. */
class AppendRate {
public:
    explicit AppendRate(double perSecond);

    /** @return Whether one more append is within the rate; counts it if so. */
    [[nodiscard]] bool take();

private:
    double perSecond_;
    double burst_;
    double available_;
    Clock::time_point updated_ = Clock::now();
};

} // namespace swiftlift::standins
