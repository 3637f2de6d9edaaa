#pragma once

#include "swiftlift/node/Action.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/** Connects to backend servers without sending anything, to show whether this router's links to them work. */
class LinkProber {
public:
    explicit LinkProber(StreamContext& context)
        : context_(context)
    {
    }

    /** Connects, waits whether the connection stays open, reports the result to the core and closes the connection. */
    void probe(const node::ProbeBackend& order);

private:
    StreamContext& context_;
};

} // namespace swiftlift::transport::internal
