#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing::internal {

/** @brief Estimates how many requests fit into an engine's memory, from the memory of the requests that were sent. */
class MemoryNeed {
public:
    /** @param memory Memory of a request, in tokens, more than 0. */
    void add(Tokens memory);

    /** @return Requests whose memory fits in together with near certainty, at least one; nullopt: none was sent. */
    [[nodiscard]] std::optional<std::uint32_t> requestsIn(Tokens memory) const;

private:
    /** Moving averages, in tokens and in squared tokens. */
    double mean_ = 0;
    double variance_ = 0;
    /** Number of samples, up to the number that the averages span. */
    double samples_ = 0;
};

} // namespace swiftlift::routing::internal
