#pragma once

#include <cstddef>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::streams {

/** @brief A registered router and where it is. */
struct KeeperCandidate {
    PeerAddress address;
    FailureDomain domain;
};

/**
 * @brief Names the routers that keep what is known of a stream, without communication between routers.
 *
 * Rendezvous hashing of the stream and the registered routers; of each failure domain the best ranked router comes
 * before any domain's second one, so that a domain's loss leaves keepers.
 *
 * @param stream The stream.
 * @param routers All registered routers.
 * @param count Maximum number of keepers.
 * @return The keepers, best first.
 */
[[nodiscard]] std::vector<PeerAddress> keepersOf(
    const StreamId& stream, const std::vector<KeeperCandidate>& routers, std::size_t count);

} // namespace swiftlift::streams
