#pragma once

#include <chrono>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "swiftlift/ring/Outbox.h"
#include "swiftlift/routing/LoadShedder.h"
#include "swiftlift/transport/StreamServer.h"
#include "transport/ReadPacer.h"

namespace swiftlift::transport::internal {

/** Objects and state shared by all parts of the streams thread. Used in that thread only. */
struct StreamContext {
    boost::asio::io_context& loop;
    StreamLimits& limits;
    DecisionInbox& decisions;
    /** Events that must not be dropped; sent once the decision thread's ring has space. */
    ring::Outbox<TaggedEvent> events;
    StreamObserver& observer;
    logging::JsonLog& log;
    ReadPacer pacer;
    Incarnation incarnation;
    StreamCounts counts;
    /** Bytes exchanged with callers and backend servers. */
    routing::LinkTraffic traffic;
    /** Lag of the last sweep: data in the sockets waits at least this long before it is read. */
    std::chrono::steady_clock::duration lag {};
    BackendForwarders forwarders {};
    /** When a backend server to which this router is connected itself has sent something. */
    std::chrono::steady_clock::time_point backendsHeardAt {};

    /** @return Where the backend server's address is reached; nullopt: the address is malformed. */
    [[nodiscard]] std::optional<Endpoint> endpointOf(const BackendAddress& address) const
    {
        return transport::endpointOf(forwarders, address);
    }
};

} // namespace swiftlift::transport::internal
