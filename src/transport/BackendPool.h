#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "swiftlift/base/Ids.h"
#include "transport/IdleConnections.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/** A connection to a backend server. */
struct BackendConnection {
    explicit BackendConnection(boost::asio::io_context& loop);

    boost::asio::ip::tcp::socket socket;
    /** Whether the connection is in the pool. */
    bool idle = false;
    /** Number of times the connection was put into the pool; identifies watches of earlier idle periods. */
    std::uint64_t idlePeriod = 0;
};

/**
 * @brief Idle connections to backend servers, kept for the next request.
 *
 * If the backend server closes a kept connection while a request is written to it, the connection ends before any
 * answer, and it is unknown whether the request ran. Connections are therefore watched while idle, checked again when
 * taken, and closed shortly before the idle time that the backend server advertises. A request that must not run twice
 * only gets a connection that became idle at most `freshIdleTime` ago. Of too many idle connections, the one that has
 * been idle for longest is closed.
 */
class BackendPool {
public:
    using ConnectionPtr = std::shared_ptr<BackendConnection>;

    explicit BackendPool(StreamContext& context);

    /**
     * @brief Removes an idle connection from the pool.
     * @param anyAge Whether the connection may have been idle for longer than `freshIdleTime`.
     * @return An idle connection that is still open; null if there is none.
     */
    [[nodiscard]] ConnectionPtr take(const BackendId& backend, bool anyAge);

    /**
     * @brief Puts a connection whose last answer was read completely into the pool.
     * @param advertisedIdleTime How long the backend server keeps the connection open while idle, as it advertises.
     */
    void giveBack(
        const BackendId& backend, ConnectionPtr connection, std::optional<std::chrono::seconds> advertisedIdleTime);

    /** Closes connections that have been idle for longer than their limit. */
    void sweep();

    /** Closes all connections. */
    void clear();

private:
    void watch(const BackendId& backend, const ConnectionPtr& connection);
    /** Closes a connection that has been removed from `idle_`. */
    void close(BackendConnection& connection);

    StreamContext& context_;
    IdleConnections<ConnectionPtr> idle_;
};

} // namespace swiftlift::transport::internal
