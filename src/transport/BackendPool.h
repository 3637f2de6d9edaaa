#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "swiftlift/base/Ids.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

/** A connection to a backend server. */
struct BackendConnection {
    explicit BackendConnection(boost::asio::io_context& loop);

    boost::asio::ip::tcp::socket socket;
    /** Set while it lies in the pool. */
    bool idle = false;
    std::chrono::steady_clock::time_point idleSince;
    /** How long it may lie in the pool. */
    std::chrono::milliseconds idleLimit { 0 };
    /** Counts its stays in the pool, so that the watch of an earlier stay is told apart. */
    std::uint64_t stay = 0;
};

/**
 * @brief Idle connections to backend servers, kept for the next request.
 *
 * What goes wrong with kept connections: the backend server closes one at the moment that a request is written to it;
 * the request then may or may not have run. It shows as the end of the connection before any answer. Connections are
 * therefore watched while idle, looked at once more when taken, given up well before the time that the backend server
 * says it keeps them, and used for a request that may run only once only where it was used a moment ago.
 */
class BackendPool {
public:
    using ConnectionPtr = std::shared_ptr<BackendConnection>;

    explicit BackendPool(StreamContext& context);

    /**
     * @param anyAge Also one that has been idle for longer than a moment.
     * @return An idle connection that still stands; null when there is none.
     */
    [[nodiscard]] ConnectionPtr take(const BackendId& backend, bool anyAge);

    /**
     * @brief Keeps a connection whose last answer has been read whole.
     * @param toldIdleTime How long the backend server says it keeps it idle.
     */
    void give(
        const BackendId& backend, ConnectionPtr connection, std::optional<std::chrono::milliseconds> toldIdleTime);

    /** Closes what has been idle for too long. */
    void sweep();

    void clear();

private:
    void watch(const BackendId& backend, const ConnectionPtr& connection);
    void drop(const BackendId& backend, const ConnectionPtr& connection);

    StreamContext& context_;
    std::unordered_map<BackendId, std::vector<ConnectionPtr>> idle_;
};

} // namespace swiftlift::transport::internal
