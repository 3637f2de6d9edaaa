#pragma once

#include <cstddef>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/ring/Inbox.h"

namespace swiftlift::transport {

/**
 * @brief An event, and the incarnation whose action it answers.
 *
 * When a retired core is replaced by a new one in place, events that answer the old one are still on their way, and
 * the numbers of attempts start anew. Such an event, taken for one of the new core, would end the wrong attempt. The
 * decision thread therefore drops events of another incarnation. Events that answer no action name nobody.
 */
struct TaggedEvent {
    Incarnation incarnation;
    node::Event event;
};

/** The ring of the decision thread. */
using DecisionInbox = ring::Inbox<TaggedEvent>;

/** Places in that ring that callers' new requests leave to everything else. */
inline constexpr std::size_t reservedEvents = 1024;
inline constexpr std::size_t decisionRingCapacity = 8192;

} // namespace swiftlift::transport
