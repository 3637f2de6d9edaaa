#pragma once

#include <cstddef>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Event.h"
#include "swiftlift/ring/Inbox.h"
#include "swiftlift/transport/DecisionDelay.h"
#include "swiftlift/transport/SteadyInstant.h"

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
    /** When the event arrived at this process. Set on construction, so that time in an outbox counts as well. */
    Instant arrivedAt = steadyInstant();
};

/**
 * @brief Ring of events to the decision thread, and how long they wait there.
 *
 * Configurations and heartbeats overtake all other events: behind hundreds of requests they would be handled too late,
 * and a request would be decided by a configuration that a waiting event replaces.
 */
class DecisionInbox : public ring::Inbox<TaggedEvent> {
public:
    /** @param capacity Maximum number of queued events, urgent ones excepted. */
    explicit DecisionInbox(std::size_t capacity)
        : Inbox(capacity, urgentCapacity)
    {
    }

    /** @return The delay of events; written by the decision thread. */
    [[nodiscard]] DecisionDelay& delay() noexcept { return delay_; }
    [[nodiscard]] const DecisionDelay& delay() const noexcept { return delay_; }

private:
    /** Enough for a heartbeat of each of some hundred routers. */
    static constexpr std::size_t urgentCapacity = 512;

    DecisionDelay delay_;
};

/** Slots of the ring that new requests of callers leave free for all other events. */
inline constexpr std::size_t reservedEvents = 1024;
/** Number of slots in the ring. */
inline constexpr std::size_t decisionRingCapacity = 8192;

} // namespace swiftlift::transport
