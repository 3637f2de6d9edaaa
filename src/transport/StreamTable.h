#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "swiftlift/transport/StreamServer.h"

namespace swiftlift::transport::internal {

/** Requests in progress in the streams thread; connects callers, backend servers and the core. */
class StreamTable {
public:
    StreamTable() = default;
    virtual ~StreamTable() = default;
    StreamTable(const StreamTable&) = delete;
    StreamTable& operator=(const StreamTable&) = delete;

    /** Accepts a caller's connection. */
    virtual void accept(boost::asio::ip::tcp::socket socket) = 0;
    /** Accepts a connection of the load balancer's readiness checks. */
    virtual void acceptReadiness(boost::asio::ip::tcp::socket socket) = 0;
    /** Executes a command of the core. */
    virtual void execute(StreamCommand&& command) = 0;

    /** Called every `progressInterval`: reports progress, expires idle connections and queries. */
    virtual void sweep() = 0;

    /** Closes callers' connections without a request now, the others after their current answer. */
    virtual void closeIdleConnections() = 0;
    /** Cancels all attempts and closes all connections. */
    virtual void closeAll() = 0;
    [[nodiscard]] virtual bool hasConnections() const noexcept = 0;
    /** @return Whether a request was received whose answer has not been written completely. */
    [[nodiscard]] virtual bool owesAnswers() const noexcept = 0;
    /** @return Number of requests at backend servers. */
    [[nodiscard]] virtual std::size_t attempts() const noexcept = 0;
    [[nodiscard]] virtual StreamCounts counts() const = 0;
};

} // namespace swiftlift::transport::internal
