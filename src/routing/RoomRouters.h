#pragma once

#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing::internal {

/**
 * @brief The routers among which the room of brittle servers is divided: those listed, and those that were until
 * lately.
 *
 * A router that has just left the list may not know it yet, and goes on to use its part.
 */
class RoomRouters {
public:
    /**
     * @brief Processes a change of the list.
     * @param self This router. If it isn't listed, it has no part, even if it was until lately.
     * @param listed All registered routers.
     */
    void onListed(const PeerAddress& self, const std::vector<PeerAddress>& listed, Instant now);
    /** @brief Removes the routers that left the list long ago. @return True if there were any. */
    bool expire(Instant now);

    [[nodiscard]] const std::vector<PeerAddress>& list() const noexcept { return routers_; }
    /** @return When the list last changed; nullopt: there is none. */
    [[nodiscard]] std::optional<Instant> changedAt() const noexcept { return changedAt_; }

private:
    void rebuild();

    std::vector<PeerAddress> listed_;
    /** When routers left the list. */
    std::map<PeerAddress, Instant> departed_;
    std::vector<PeerAddress> routers_;
    std::optional<Instant> changedAt_;
};

} // namespace swiftlift::routing::internal
