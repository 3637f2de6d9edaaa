#include "swiftlift/transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "transport/HttpText.h"
#include "transport/SocketOptions.h"

namespace swiftlift::transport {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

    constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;
    constexpr unsigned httpVersion = 11;

} // namespace

struct HttpClient::State {
    explicit State(Endpoint serverEndpoint)
        : endpoint(std::move(serverEndpoint))
    {
    }

    using Clock = std::chrono::steady_clock;
    using AsyncOperation = std::function<void(std::function<void(ErrorCode)>)>;

    /** Runs an asynchronous operation until it ends, the deadline passes or the client is cancelled. */
    [[nodiscard]] bool run(const char* operationName, Clock::time_point until, const AsyncOperation& operation);
    [[nodiscard]] bool connect(Clock::time_point until);
    [[nodiscard]] bool write(const HttpRequest& request, Clock::time_point until);
    [[nodiscard]] std::optional<HttpResponse> read(Clock::time_point until);
    [[nodiscard]] bool connectionIsReusable();
    void close();

    Endpoint endpoint;
    boost::asio::io_context loop { 1 };
    std::optional<tcp::socket> socket;
    std::string lastReason;
    std::atomic<bool> cancelled = false;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

bool HttpClient::State::run(const char* operationName, Clock::time_point until, const AsyncOperation& operation)
{
    ErrorCode result = boost::asio::error::would_block;
    operation([&result](ErrorCode error) { result = error; });
    loop.restart();
    while (result == boost::asio::error::would_block && !cancelled.load() && loop.run_one_until(until) > 0) { }
    if (!result) {
        return true;
    }
    const bool timedOut = result == boost::asio::error::would_block;
    lastReason = std::string(operationName) + ": "
        + (cancelled.load() ? "cancelled"
                : timedOut  ? "timeout"
                            : result.message());
    close();
    // Closing the socket ends the operation. Run its handler before the objects that the handler refers to are
    // destroyed.
    loop.restart();
    loop.poll();
    return false;
}

bool HttpClient::State::connect(Clock::time_point until)
{
    if (connectionIsReusable()) {
        return true;
    }
    close();
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(endpoint.ip, error);
    if (error) {
        lastReason = "address: " + error.message();
        return false;
    }
    socket.emplace(loop);
    const bool connected = run("connect", until,
        [&](auto done) { socket->async_connect(tcp::endpoint(address, endpoint.port), std::move(done)); });
    if (connected) {
        socket->set_option(tcp::no_delay(true), error);
        internal::detectDeadPeer(*socket);
    }
    return connected;
}

/** @return Whether the last call's connection can be reused: it is open, and no unexpected bytes have arrived. */
bool HttpClient::State::connectionIsReusable()
{
    if (!socket) {
        return false;
    }
    char byte = 0;
    ErrorCode error;
    socket->non_blocking(true, error);
    socket->receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

bool HttpClient::State::write(const HttpRequest& request, Clock::time_point until)
{
    const auto verb = request.method == "POST" ? http::verb::post : http::verb::get;
    http::request<http::string_body> message { verb, request.target, httpVersion };
    message.set(http::field::host, toText(endpoint));
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    message.body() = request.body;
    message.prepare_payload();
    const std::string bytes = internal::toBytes(message);
    sent += bytes.size();
    return run("write", until, [&](auto done) {
        boost::asio::async_write(*socket, boost::asio::buffer(bytes),
            [done = std::move(done)](ErrorCode error, std::size_t) { done(error); });
    });
}

std::optional<HttpResponse> HttpClient::State::read(Clock::time_point until)
{
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    const bool complete = run("read", until, [&](auto done) {
        http::async_read(*socket, buffer, parser, [this, done = std::move(done)](ErrorCode error, std::size_t count) {
            received += count;
            done(error);
        });
    });
    if (!complete) {
        return std::nullopt;
    }
    // A server that is killed after the head ends its connection in order, too, and the part would count as the whole.
    if (parser.need_eof() || internal::hasUnknownCoding(parser.get())) {
        lastReason = "read: the answer has no length";
        close();
        return std::nullopt;
    }
    auto message = parser.release();
    if (!internal::isStatus(message.result_int())) {
        lastReason = "read: " + std::to_string(message.result_int()) + " is no status of HTTP";
        close();
        return std::nullopt;
    }
    if (!message.keep_alive()) {
        close();
    }
    return HttpResponse { static_cast<int>(message.result_int()), std::move(message.body()) };
}

void HttpClient::State::close()
{
    if (socket) {
        ErrorCode ignoredError;
        socket->close(ignoredError);
        loop.restart();
        loop.poll();
        socket.reset();
    }
}

HttpClient::HttpClient(Endpoint endpoint)
    : state_(std::make_unique<State>(std::move(endpoint)))
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

std::optional<HttpResponse> HttpClient::call(const HttpRequest& request, std::chrono::milliseconds limit)
{
    const auto until = State::Clock::now() + limit;
    if (!state_->connect(until) || !state_->write(request, until)) {
        return std::nullopt;
    }
    return state_->read(until);
}

void HttpClient::cancel()
{
    state_->cancelled.store(true);
    // An empty task wakes the event loop, so that run() checks the flag.
    boost::asio::post(state_->loop, [] {});
}

const std::string& HttpClient::lastReason() const noexcept { return state_->lastReason; }

const Endpoint& HttpClient::endpoint() const noexcept { return state_->endpoint; }

std::uint64_t HttpClient::bytesSent() const noexcept { return state_->sent; }

std::uint64_t HttpClient::bytesReceived() const noexcept { return state_->received; }

} // namespace swiftlift::transport
