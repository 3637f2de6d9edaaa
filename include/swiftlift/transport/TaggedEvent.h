#pragma once

#include <cstddef>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/ring/Inbox.h"

namespace swiftlift::transport {

/**
 * @brief An event, with the incarnation of the core whose action caused it.
 *
 * When a new core replaces a retired one in the same process, events caused by the old core may still be queued, and
 * attempt numbers restart. If the new core handled such an event, it would end the wrong attempt. The decision thread
 * therefore drops events of other incarnations. Events that no action caused have a default `incarnation`.
 */
struct TaggedEvent {
    Incarnation incarnation;
    node::Event event;
};

/** Ring of events to the decision thread. */
using DecisionInbox = ring::Inbox<TaggedEvent>;

/** Slots of the ring that new requests of callers leave free for all other events. */
inline constexpr std::size_t reservedEvents = 1024;
/** Number of slots in the ring. */
inline constexpr std::size_t decisionRingCapacity = 8192;

} // namespace swiftlift::transport
