#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

#include "swiftlift/transport/StreamServer.h"

namespace swiftlift::transport::internal {

/** @return The idle time N that a backend server advertises with `Keep-Alive: timeout=N`. */
[[nodiscard]] std::optional<std::chrono::seconds> advertisedIdleTime(std::string_view keepAlive);

/**
 * @param advertised Time after which the backend server closes an idle connection; nullopt: not stated.
 * @return For how long an idle connection is kept: less than `advertised`, so that the backend server seldom closes it
 * while a request is on its way.
 */
[[nodiscard]] std::chrono::milliseconds idleLimitFor(
    std::optional<std::chrono::seconds> advertised, const StreamLimits& limits);

/** @return The process's limit on open file descriptors. */
[[nodiscard]] std::size_t descriptorLimit();

/** Lowers the limits on callers' connections and sets the one on idle connections to what the descriptors allow. */
void limitByDescriptors(StreamLimits& limits, std::size_t descriptors);

} // namespace swiftlift::transport::internal
