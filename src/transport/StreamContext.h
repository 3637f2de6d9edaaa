#pragma once

#include <chrono>

#include <boost/asio/io_context.hpp>

#include "swiftlift/ring/Outbox.h"
#include "swiftlift/routing/LoadShedder.h"
#include "swiftlift/transport/StreamServer.h"
#include "transport/ReadPacer.h"

namespace swiftlift::transport::internal {

/** What all parts of the streams thread share. Used in that thread only. */
struct StreamContext {
    boost::asio::io_context& loop;
    StreamLimits& limits;
    DecisionInbox& decisions;
    /** Events that must arrive. */
    ring::Outbox<TaggedEvent> events;
    StreamObserver& observer;
    logging::JsonLog& log;
    ReadPacer pacer;
    Incarnation incarnation;
    StreamCounts counts;
    /** Of callers and backend servers. */
    routing::LinkTraffic traffic;
    /** By how much the last sweep came late: what waits in the sockets waits at least as long. */
    std::chrono::steady_clock::duration lag {};
};

} // namespace swiftlift::transport::internal
