#pragma once

#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::ctl {

/** How long and how often a change is tried. */
class Patience {
public:
    Patience() = default;
    virtual ~Patience() = default;
    Patience(const Patience&) = delete;
    Patience& operator=(const Patience&) = delete;

    /** @brief Waits before the next try. @return false when no time is left. */
    [[nodiscard]] virtual bool pause() = 0;
};

/** Waits that double, until a limit from the start has passed. */
class TimedPatience final : public Patience {
public:
    explicit TimedPatience(Duration limit);

    [[nodiscard]] bool pause() override;

private:
    using Clock = std::chrono::steady_clock;

    Clock::time_point end_;
    Duration next_;
};

} // namespace swiftlift::ctl
