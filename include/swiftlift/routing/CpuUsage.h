#pragma once

#include <chrono>
#include <deque>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief CPU time that the process uses, compared with the VM's share of CPU time. */
class CpuUsage {
public:
    /** @param cores The VM's share, as a number of cores; 0: not known. */
    explicit CpuUsage(double cores) noexcept
        : cores_(cores)
    {
    }

    /**
     * @brief Records the CPU time of the process.
     * @param used CPU time since the process started.
     * @param now The current time.
     */
    void onCpuTime(Duration used, Instant now);

    /** @return Used part of the VM's share over the last `window`, 1 for all of it; 0 while it is not known. */
    [[nodiscard]] double share() const noexcept;
    /** @return True if the VM's share is known. */
    [[nodiscard]] bool known() const noexcept { return cores_ > 0; }

private:
    /** Time over which the use is averaged; over a shorter time, one large request would look like an overload. */
    static constexpr Duration window = std::chrono::seconds(1);

    struct Sample {
        Instant at;
        Duration used {};
    };

    double cores_;
    /** Samples within the window, and the newest one before it. */
    std::deque<Sample> samples_;
};

} // namespace swiftlift::routing
