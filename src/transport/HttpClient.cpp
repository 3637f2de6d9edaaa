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

namespace swiftlift::transport {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

    constexpr std::size_t maxAnswerBytes = 64 * 1024 * 1024;
    constexpr unsigned httpVersion = 11;

} // namespace

struct HttpClient::State {
    explicit State(Endpoint given)
        : endpoint(std::move(given))
    {
    }

    using Clock = std::chrono::steady_clock;
    using Step = std::function<void(std::function<void(ErrorCode)>)>;

    /** Runs one operation until it ends or the time is over. */
    [[nodiscard]] bool run(const char* what, Clock::time_point until, const Step& step);
    [[nodiscard]] bool connect(Clock::time_point until);
    [[nodiscard]] bool write(const HttpRequest& request, Clock::time_point until);
    [[nodiscard]] std::optional<HttpResponse> read(Clock::time_point until);
    [[nodiscard]] bool kept();
    void close();

    Endpoint endpoint;
    boost::asio::io_context loop { 1 };
    std::optional<tcp::socket> socket;
    std::string lastReason;
    std::atomic<bool> cancelled = false;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

bool HttpClient::State::run(const char* what, Clock::time_point until, const Step& step)
{
    ErrorCode result = boost::asio::error::would_block;
    step([&result](ErrorCode error) { result = error; });
    loop.restart();
    while (result == boost::asio::error::would_block && !cancelled.load() && loop.run_one_until(until) > 0) { }
    if (!result) {
        return true;
    }
    const bool late = result == boost::asio::error::would_block;
    lastReason = std::string(what) + ": " + (cancelled.load() ? "cancelled" : late ? "timeout" : result.message());
    close();
    // The operation ends now that its socket is closed; let it, before what it refers to is gone.
    loop.restart();
    loop.poll();
    return false;
}

bool HttpClient::State::connect(Clock::time_point until)
{
    if (kept()) {
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
    }
    return connected;
}

/** @return Whether the connection of the last call still stands: nothing has come on it, and it isn't closed. */
bool HttpClient::State::kept()
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
    const bool got = run("read", until, [&](auto done) {
        http::async_read(*socket, buffer, parser, [this, done = std::move(done)](ErrorCode error, std::size_t count) {
            received += count;
            done(error);
        });
    });
    if (!got) {
        return std::nullopt;
    }
    auto message = parser.release();
    if (!message.keep_alive()) {
        close();
    }
    return HttpResponse { static_cast<int>(message.result_int()), std::move(message.body()) };
}

void HttpClient::State::close()
{
    if (socket) {
        ErrorCode ignored;
        socket->close(ignored);
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
    // An empty task, so that the loop looks at the flag.
    boost::asio::post(state_->loop, [] {});
}

const std::string& HttpClient::lastReason() const noexcept { return state_->lastReason; }

const Endpoint& HttpClient::endpoint() const noexcept { return state_->endpoint; }

std::uint64_t HttpClient::bytesSent() const noexcept { return state_->sent; }

std::uint64_t HttpClient::bytesReceived() const noexcept { return state_->received; }

} // namespace swiftlift::transport
