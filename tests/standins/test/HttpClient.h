#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>
#include <optional>
#include <string>

#include "common/Types.h"

namespace swiftlift::standins {

struct HttpCall {
    /** `GET` without a body, otherwise `POST`. */
    std::optional<std::string> body;
    std::string target;
    std::map<std::string, std::string> headers;
};

struct HttpReply {
    unsigned status = 0;
    std::string body;
};

/** A blocking HTTP client on one connection, for tests. */
class HttpClient {
public:
    /**
     * @param server Where to connect.
     * @param from Source address of the connection, if it matters.
     */
    explicit HttpClient(const Tcp::endpoint& server, std::optional<asio::ip::address> from = std::nullopt);

    /** Sends a call and waits for its answer. Connects first if there is no connection. */
    [[nodiscard]] std::optional<HttpReply> call(const HttpCall& call);
    /** Sends a call. */
    [[nodiscard]] bool send(const HttpCall& call);
    /** @return The whole answer to the call sent; nothing when the connection ends before. */
    [[nodiscard]] std::optional<HttpReply> receive();
    /** @return The next bytes as they come; empty when the connection has ended. */
    [[nodiscard]] std::string receiveSome();
    void close();

    [[nodiscard]] const std::string& lastReason() const noexcept { return lastReason_; }

private:
    [[nodiscard]] bool connect();
    [[nodiscard]] bool check(const boost::system::error_code& error);

    Tcp::endpoint server_;
    std::optional<asio::ip::address> from_;
    asio::io_context context_;
    Tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::string lastReason_;
};

} // namespace swiftlift::standins
