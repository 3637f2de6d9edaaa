#pragma once

#include <optional>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing::internal {

/** @brief How long requests run at the servers of a service. */
class RunTimes {
public:
    /** @param took Time from the dispatch of a completed request to its end. */
    void add(Duration took);
    /** @return Longest time of those that completed lately; nullopt: none has completed. */
    [[nodiscard]] std::optional<Duration> longest() const noexcept { return longest_; }

private:
    std::optional<Duration> longest_;
};

} // namespace swiftlift::routing::internal
