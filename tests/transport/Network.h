#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace swiftlift::transport::test {

/** Timeout for events that a test expects; reached only if the test fails. */
inline constexpr std::chrono::seconds longWait { 30 };

using HttpText = boost::beast::http::response<boost::beast::http::string_body>;
using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;

/** One end of a TCP connection. Reads block for up to longWait. */
class Connection {
public:
    explicit Connection(boost::asio::ip::tcp::socket socket);

    void write(const std::string& bytes);
    /** @return All bytes up to the end of `mark`. Throws if the mark is not received. */
    [[nodiscard]] std::string readUntil(const std::string& mark);
    [[nodiscard]] HttpText readResponse();
    [[nodiscard]] HttpRequestMessage readRequest();
    /** @return Whether the other end closes the connection before a read times out. */
    [[nodiscard]] bool closes();
    /** @return Whether the other end resets the connection, so that what was received is not a complete answer. */
    [[nodiscard]] bool isReset();
    /** Reads until the other end closes. @return Number of bytes that were not returned before. */
    [[nodiscard]] std::size_t readToEnd();
    [[nodiscard]] bool hasReceived() const noexcept { return !received_.empty(); }
    void close();
    /** Ends this end's bytes in order; bytes of the other end can still be read. */
    void endSending();
    /** Ends the connection with a reset, as the operating system does for a peer that has crashed. */
    void reset();
    /** Makes the other end wait: at most this many bytes are received ahead of a read. */
    void limitReceiveBuffer(int bytes);

private:
    /** @return Whether the connection is still open after a read. Throws if no bytes arrive within longWait. */
    bool fill();
    template <typename Parser> void parse(Parser& parser);

    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

/** A TCP listener on a free port of the loopback address. */
class Listener {
public:
    Listener();

    [[nodiscard]] Connection accept();
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::uint16_t port() const;

private:
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

[[nodiscard]] Connection connectTo(std::uint16_t port);

/** @return An HTTP response with the given status and body. */
[[nodiscard]] std::string jsonAnswer(int status, const std::string& body);

} // namespace swiftlift::transport::test
