#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/PeerMessage.h"

namespace swiftlift::wire {

/** A message between routers, with who sent it and for whom it is. */
struct PeerEnvelope {
    Incarnation sender;
    PeerAddress senderAddress;
    /** 0: whoever listens there. */
    Incarnation receiver;
    node::PeerMessage message;
    /** Of messages on grants and loans: the shard of the ledger that numbers them. */
    std::uint32_t shard = 0;
};

/** @return The envelope as bytes of `proto/peer.proto`. */
[[nodiscard]] std::string encodePeerEnvelope(const PeerEnvelope& envelope);

/** @return The envelope; nothing when the bytes are none, or of a kind that this release doesn't know. */
[[nodiscard]] std::optional<PeerEnvelope> decodePeerEnvelope(std::string_view bytes);

} // namespace swiftlift::wire
