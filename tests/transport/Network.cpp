#include "transport/Network.h"

#include <array>
#include <limits>
#include <stdexcept>
#include <utility>

#include <poll.h>

#include <boost/asio/write.hpp>

namespace swiftlift::transport::test {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    boost::asio::io_context& sharedLoop()
    {
        static boost::asio::io_context loop;
        return loop;
    }

    bool readable(int descriptor)
    {
        pollfd polled { descriptor, POLLIN, 0 };
        return ::poll(&polled, 1, static_cast<int>(std::chrono::milliseconds(longWait).count())) > 0;
    }

} // namespace

Connection::Connection(tcp::socket socket)
    : socket_(std::move(socket))
{
}

void Connection::write(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

bool Connection::fill()
{
    if (!readable(socket_.native_handle())) {
        throw std::runtime_error("timeout while waiting for bytes on a test connection");
    }
    std::array<char, 4096> bytes {};
    boost::system::error_code error;
    const std::size_t count = socket_.read_some(boost::asio::buffer(bytes), error);
    received_.append(bytes.data(), count);
    return !error;
}

std::string Connection::readUntil(const std::string& mark)
{
    while (received_.find(mark) == std::string::npos) {
        if (!fill()) {
            throw std::runtime_error(
                "connection closed before \"" + mark + "\"; received: " + received_.substr(0, 500));
        }
    }
    const auto end = received_.find(mark) + mark.size();
    const std::string text = received_.substr(0, end);
    received_.erase(0, end);
    return text;
}

template <typename Parser> void Connection::parse(Parser& parser)
{
    parser.eager(true);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    while (!parser.is_done()) {
        if (received_.empty() && !fill()) {
            throw std::runtime_error("connection closed before an HTTP message was complete");
        }
        boost::system::error_code error;
        const std::size_t used = parser.put(boost::asio::buffer(received_), error);
        received_.erase(0, used);
        if (error == http::error::need_more && !fill()) {
            throw std::runtime_error("connection closed within an HTTP message");
        }
        if (error && error != http::error::need_more) {
            throw std::runtime_error(error.message());
        }
    }
}

HttpText Connection::readResponse()
{
    http::response_parser<http::string_body> parser;
    parse(parser);
    return parser.release();
}

HttpRequestMessage Connection::readRequest()
{
    http::request_parser<http::string_body> parser;
    parse(parser);
    return parser.release();
}

bool Connection::closes()
{
    try {
        while (fill()) { }
        return true;
    } catch (const std::runtime_error&) {
        return false;
    }
}

bool Connection::isReset()
{
    boost::system::error_code error;
    std::array<char, 4096> bytes {};
    while (!error) {
        if (!readable(socket_.native_handle())) {
            return false;
        }
        socket_.read_some(boost::asio::buffer(bytes), error);
    }
    return error == boost::asio::error::connection_reset;
}

std::size_t Connection::readToEnd()
{
    std::size_t count = received_.size();
    received_.clear();
    while (fill()) {
        count += std::exchange(received_, {}).size();
    }
    return count;
}

void Connection::endSending()
{
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void Connection::close() { socket_.close(); }

void Connection::reset()
{
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
}

void Connection::limitReceiveBuffer(int bytes)
{
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
}

Listener::Listener()
    : acceptor_(loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
}

Connection Listener::accept()
{
    if (!readable(acceptor_.native_handle())) {
        throw std::runtime_error("timeout while waiting for a connection to a test listener");
    }
    return Connection(acceptor_.accept());
}

std::string Listener::address() const { return "127.0.0.1:" + std::to_string(port()); }

std::uint16_t Listener::port() const { return acceptor_.local_endpoint().port(); }

Connection connectTo(std::uint16_t port)
{
    tcp::socket socket(sharedLoop());
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    return Connection(std::move(socket));
}

std::string jsonAnswer(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace swiftlift::transport::test
