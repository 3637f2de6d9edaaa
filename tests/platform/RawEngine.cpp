#include "platform/RawEngine.h"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <poll.h>
#include <sys/socket.h>

#include "common/Text.h"
#include "platform/StreamCaller.h"

namespace swiftlift::platform::test {

using boost::asio::ip::tcp;

void RawEngine::Request::write(const std::string& text) const
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

void RawEngine::Request::reset() const
{
    // Disconnects by a reset and leaves the descriptor open, which the engine's end still uses.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    ::connect(socket.native_handle(), &none, sizeof(none));
}

RawEngine::RawEngine(std::string id, Answer answer)
    : id_(std::move(id))
    , answer_(std::move(answer))
    , acceptor_(loop_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , listener_([this] { listen(); })
{
}

RawEngine::~RawEngine()
{
    ends_ = true;
    listener_.join();
    for (const auto& connection : connections_) {
        ::shutdown(connection->native_handle(), SHUT_RDWR);
    }
    for (std::thread& thread : threads_) {
        thread.join();
    }
}

std::string RawEngine::address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

void RawEngine::listen()
{
    constexpr int pollMs = 20;
    while (!ends_) {
        pollfd waiting { acceptor_.native_handle(), POLLIN, 0 };
        if (::poll(&waiting, 1, pollMs) == 1) {
            connections_.push_back(std::make_unique<tcp::socket>(acceptor_.accept()));
            threads_.emplace_back([this, &socket = *connections_.back()] { serve(socket); });
        }
    }
}

void RawEngine::serve(tcp::socket& socket)
{
    constexpr std::size_t readBytes = 1024;
    boost::system::error_code error;
    std::string head;
    std::array<char, readBytes> bytes {};
    while (head.find("\r\n\r\n") == std::string::npos && !error) {
        head.append(bytes.data(), socket.read_some(boost::asio::buffer(bytes), error));
    }
    if (!error) {
        ++requests_;
        const std::string request(fieldOf(head, "Request-Id"));
        const bool isTakeUp = !fieldOf(head, "Last-Event-Id").empty();
        answer_({ socket, request, isTakeUp, standins::toHex(standins::hashOf(request + id_)), ends_ });
    }
    // The router learns at once that the connection has ended; the descriptor stays until the engine's end.
    ::shutdown(socket.native_handle(), SHUT_RDWR);
}

} // namespace swiftlift::platform::test
