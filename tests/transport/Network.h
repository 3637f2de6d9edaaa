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

/** Longest wait for anything that has to happen; reached only when it doesn't. */
inline constexpr std::chrono::seconds longWait { 30 };

using HttpText = boost::beast::http::response<boost::beast::http::string_body>;
using HttpAsk = boost::beast::http::request<boost::beast::http::string_body>;

/** One end of a TCP connection, read and written with waits that are long but end. */
class Connection {
public:
    explicit Connection(boost::asio::ip::tcp::socket socket);

    void write(const std::string& bytes);
    /** @return Everything up to and with `mark`. Throws when it doesn't come. */
    [[nodiscard]] std::string readUntil(const std::string& mark);
    [[nodiscard]] HttpText readResponse();
    [[nodiscard]] HttpAsk readRequest();
    /** @return Whether the other end closes. */
    [[nodiscard]] bool closes();
    [[nodiscard]] bool hasReceived() const noexcept { return !received_.empty(); }
    void close();

private:
    /** @return Whether bytes have come; not when the other end has closed. */
    bool fill();
    template <typename Parser> void parse(Parser& parser);

    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

/** A place that a test listens on, on loopback at a free port. */
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

/** @return A whole HTTP answer of JSON. */
[[nodiscard]] std::string jsonAnswer(int status, const std::string& body);

} // namespace swiftlift::transport::test
