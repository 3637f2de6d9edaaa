#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "common/Exchange.h"
#include "common/Service.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** @return The endpoint named by `ip:port`; throws std::invalid_argument when it names none. */
[[nodiscard]] Tcp::endpoint parseEndpoint(const std::string& text);

/** Serves HTTP/1.1 for a service: one coroutine a connection, all on the I/O context's single thread. */
class HttpServer {
public:
    /** Listens at once; `service` must outlive the server. */
    HttpServer(asio::io_context& context, const Tcp::endpoint& endpoint, Service& service);

    /** Starts to accept. */
    void start();

    /** @return Where it listens, with the port that the system chose for port 0. */
    [[nodiscard]] Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    [[nodiscard]] Awaitable<void> accept();
    /** Ends the service and has it listen again, each time that it asks for a crash. */
    [[nodiscard]] Awaitable<void> followCrashes();
    void closeAll();

    asio::io_context& context_;
    Tcp::acceptor acceptor_;
    Service& service_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace swiftlift::standins
