#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/PeerMessage.h"

namespace swiftlift::wire {

/** A message between routers, with its sender and receiver. */
struct PeerEnvelope {
    /** Incarnation of the sending router; never 0 in a valid envelope. */
    Incarnation sender;
    /** Address at which other routers reach the sending router. */
    PeerAddress senderAddress;
    /** Incarnation of the receiving router; 0 addresses any router that listens at the destination address. */
    Incarnation receiver;
    node::PeerMessage message;
    /** Ledger shard in which the grants and loans of the message are numbered; unused by other messages. */
    std::uint32_t shard = 0;
};

/**
 * @param envelope Envelope to encode.
 * @return The envelope as a serialized `Envelope` of `proto/peer.proto`.
 */
[[nodiscard]] std::string encodePeerEnvelope(const PeerEnvelope& envelope);

/**
 * @param bytes Serialized `Envelope` of `proto/peer.proto`.
 * @return The envelope; empty if the bytes are malformed, name no sender, or hold a kind of message that this release
 * does not support.
 */
[[nodiscard]] std::optional<PeerEnvelope> decodePeerEnvelope(std::string_view bytes);

} // namespace swiftlift::wire
