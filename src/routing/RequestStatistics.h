#pragma once

#include "routing/MemoryNeed.h"
#include "routing/RunTimes.h"

namespace swiftlift::routing::internal {

/** @brief What the requests of one service need of its servers. */
struct RequestStatistics {
    RunTimes runTimes;
    MemoryNeed memoryNeed;
};

} // namespace swiftlift::routing::internal
