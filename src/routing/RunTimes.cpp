#include "routing/RunTimes.h"

#include <algorithm>

namespace swiftlift::routing::internal {

namespace {

    /** Completed requests after which a longest time that isn't reached again has shrunk to about a third. */
    constexpr int decay = 1024;

} // namespace

void RunTimes::add(Duration took)
{
    const Duration longest = longest_.value_or(took);
    longest_ = std::max(took, longest - longest / decay);
}

} // namespace swiftlift::routing::internal
