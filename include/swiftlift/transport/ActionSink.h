#pragma once

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::transport {

/** Executes the core's actions by passing them to the I/O threads. Never blocks. */
class ActionSink {
public:
    ActionSink() = default;
    virtual ~ActionSink() = default;
    ActionSink(const ActionSink&) = delete;
    ActionSink& operator=(const ActionSink&) = delete;

    /** Passes one action to the thread that executes it. */
    virtual void execute(node::Action&& action) = 0;

    /** Called after each round of decisions: retries actions that were held back because a ring was full. */
    virtual void flush() = 0;

    /** Starts a new incarnation of the core; events caused by an earlier incarnation must not reach it. */
    virtual void beginIncarnation(Incarnation incarnation) = 0;
};

} // namespace swiftlift::transport
