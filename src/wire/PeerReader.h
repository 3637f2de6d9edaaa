#pragma once

#include <optional>

#include "peer.pb.h"
#include "swiftlift/node/PeerMessage.h"

namespace swiftlift::wire::internal {

/**
 * @param in Parsed envelope.
 * @return The message in the envelope; empty if the envelope has no message of a kind that this release supports.
 */
[[nodiscard]] std::optional<node::PeerMessage> readMessage(const proto::peer::Envelope& in);

} // namespace swiftlift::wire::internal
