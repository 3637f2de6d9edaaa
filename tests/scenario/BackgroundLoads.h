#pragma once

#include <cstddef>
#include <deque>
#include <future>
#include <string>

#include "Load.h"

namespace swiftlift::scenario {

/** Loads that run while the script does something else. */
class BackgroundLoads {
public:
    /** @return The load's handle. */
    [[nodiscard]] std::size_t start(LoadPlan plan, Callers& callers);
    /** Waits for the load's last answer. */
    [[nodiscard]] LoadCounts wait(std::size_t handle);
    [[nodiscard]] Moment startedAt(std::size_t handle) const { return entry(handle).startedAt; }
    [[nodiscard]] const std::string& idPrefix(std::size_t handle) const { return entry(handle).plan.idPrefix; }

private:
    struct Entry {
        LoadPlan plan;
        Moment startedAt;
        std::shared_future<LoadCounts> end;
    };

    [[nodiscard]] const Entry& entry(std::size_t handle) const;

    /** The running loads refer to their plans, so these keep their places. */
    std::deque<Entry> entries_;
};

} // namespace swiftlift::scenario
