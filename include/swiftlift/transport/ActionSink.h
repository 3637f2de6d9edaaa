#pragma once

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::transport {

/** Carries the core's actions out, by handing them to the threads that do I/O. Never blocks. */
class ActionSink {
public:
    ActionSink() = default;
    virtual ~ActionSink() = default;
    ActionSink(const ActionSink&) = delete;
    ActionSink& operator=(const ActionSink&) = delete;

    virtual void execute(node::Action&& action) = 0;

    /** Called after each round of decisions: hands over what found a full ring. */
    virtual void flush() = 0;

    /** A new core starts; nothing that answers an earlier one may reach it. */
    virtual void beginIncarnation(Incarnation incarnation) = 0;
};

} // namespace swiftlift::transport
