#pragma once

#include <optional>

#include "peer.pb.h"
#include "swiftlift/node/PeerMessage.h"

namespace swiftlift::wire::internal {

/** @return The envelope's body; nothing when it has none that this release knows. */
[[nodiscard]] std::optional<node::PeerMessage> readMessage(const proto::peer::Envelope& in);

} // namespace swiftlift::wire::internal
