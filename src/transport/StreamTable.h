#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "swiftlift/transport/StreamServer.h"

namespace swiftlift::transport::internal {

/** All that is in progress in the streams thread: brings the core's orders, callers and backend servers together. */
class StreamTable {
public:
    StreamTable() = default;
    virtual ~StreamTable() = default;
    StreamTable(const StreamTable&) = delete;
    StreamTable& operator=(const StreamTable&) = delete;

    virtual void accept(boost::asio::ip::tcp::socket socket) = 0;
    /** Somebody asks whether this VM may be sent callers. */
    virtual void acceptReadiness(boost::asio::ip::tcp::socket socket) = 0;
    virtual void execute(StreamCommand&& command) = 0;

    /** To be called often: reports progress, drops what has waited too long. */
    virtual void sweep() = 0;

    virtual void closeIdleConnections() = 0;
    virtual void closeAll() = 0;
    [[nodiscard]] virtual bool hasConnections() const noexcept = 0;
    /** @return Requests at backend servers. */
    [[nodiscard]] virtual std::size_t attempts() const noexcept = 0;
    [[nodiscard]] virtual StreamCounts counts() const = 0;
};

} // namespace swiftlift::transport::internal
