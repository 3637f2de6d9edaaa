#pragma once

#include <set>
#include <string>
#include <vector>

#include "Callers.h"
#include "LuaRuntime.h"

namespace swiftlift::scenario {

/** Which requests are looked at: those of one load, by the time they were sent. */
struct Window {
    /** Beginning of the requests' ids. */
    std::string idPrefix;
    /** Empty: all. */
    std::set<std::string> accounts;
    Moment from;
    Moment to;
};

/** @return Counts by outcome and reason, and percentiles in milliseconds, as callers saw them; docs/SCENARIOS.md. */
[[nodiscard]] Json measure(const std::vector<Observation>& observations, const Window& window);

} // namespace swiftlift::scenario
