#pragma once

#include <deque>
#include <optional>

#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendFacts.h"

namespace swiftlift::routing::internal {

/**
 * @brief Limits what this router sends to one cold backend server.
 *
 * Requests that were sent while the server still seemed warm count as well: a server may turn cold at any moment.
 */
class WarmupLimiter {
public:
    /** @param limit The server's limit; nothing if servers of its service are never cold. */
    void setLimit(const std::optional<WarmupLimit>& limit);
    /** @brief Records that a request was sent to the server. */
    void onDispatched(Instant now);
    /** @brief Forgets the requests, after the server restarted. */
    void clear() noexcept { sent_.clear(); }

    [[nodiscard]] bool isCold(Instant now) const noexcept { return limit_ && now < limit_->coldUntil; }
    /** @return True if the server is cold and may get no further request of this router now. */
    [[nodiscard]] bool holdsBack(Instant now) const noexcept;
    /** @return When the next request may be sent, if the server is held back now. */
    [[nodiscard]] Instant freeAt(Instant now) const noexcept;

private:
    std::optional<WarmupLimit> limit_;
    /** Times of the requests sent within the window, oldest first. */
    std::deque<Instant> sent_;
};

} // namespace swiftlift::routing::internal
