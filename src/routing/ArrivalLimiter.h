#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendFacts.h"
#include "swiftlift/routing/FleetShare.h"

namespace swiftlift::routing::internal {

/** @brief A limit of what this router may send to a backend server, until it ends. */
struct ArrivalLimit {
    FleetShare share;
    /** When the limit ends by itself. */
    Instant until = Instant::max();
};

/**
 * @brief Limits what this router sends to one backend server: while the server is cold, and while it names a limit.
 *
 * Requests that were sent before a limit was known count as well: a server may turn cold, or name a limit, at any
 * moment.
 */
class ArrivalLimiter {
public:
    /** @param limit The limit for this cause; nullopt: none. */
    void setLimit(LimitCause cause, const std::optional<ArrivalLimit>& limit);
    /** @brief Records that a request was sent to the server. */
    void onDispatched(Instant now);
    /** @return Number of remembered requests that were sent after this time. */
    [[nodiscard]] std::size_t sentSince(Instant from) const noexcept;
    /** @brief Forgets the requests, after the server restarted. */
    void clear() noexcept { sent_.clear(); }

    /** @return True if there is a limit for this cause. */
    [[nodiscard]] bool isLimited(LimitCause cause, Instant now) const noexcept;
    /** @return Why the server may get no further request of this router now; nullopt: it may get one. */
    [[nodiscard]] std::optional<LimitCause> heldBackBy(Instant now) const noexcept;
    /** @return When the next request may be sent, as far as is known. */
    [[nodiscard]] Instant freeAt(Instant now) const noexcept;

private:
    /** Number of requests that are remembered; a larger share is no limit for one router. */
    static constexpr std::size_t maxRemembered = 256;

    [[nodiscard]] const std::optional<ArrivalLimit>& limitOf(LimitCause cause) const noexcept
    {
        return limits_[static_cast<std::size_t>(cause)];
    }
    [[nodiscard]] bool holdsBack(LimitCause cause, Instant now) const noexcept;
    [[nodiscard]] Instant freeAt(LimitCause cause, Instant now) const noexcept;
    /** @return Time for which requests are remembered. */
    [[nodiscard]] Duration memory() const noexcept;

    std::array<std::optional<ArrivalLimit>, limitCauses.size()> limits_;
    /** Times of the requests sent within `memory()`, oldest first. */
    std::vector<Instant> sent_;
};

} // namespace swiftlift::routing::internal
