#include "common/Exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace swiftlift::standins {

namespace http = boost::beast::http;

namespace internal {

    std::string addressOf(const Tcp::socket& socket)
    {
        boost::system::error_code error;
        const auto endpoint = socket.remote_endpoint(error);
        return error ? std::string() : endpoint.address().to_string();
    }

    std::string_view view(boost::beast::string_view text) { return { text.data(), text.size() }; }

    boost::beast::string_view beastView(std::string_view text) { return { text.data(), text.size() }; }

} // namespace internal

Connection::Connection(Tcp::socket accepted)
    : socket(std::move(accepted))
    , remoteAddress(internal::addressOf(socket))
{
}

void Connection::close()
{
    closed = true;
    boost::system::error_code ignored;
    socket.close(ignored);
    closing.notify();
}

Exchange::Exchange(std::shared_ptr<Connection> connection, const HttpRequest& request, ByteCounts& counts)
    : connection_(std::move(connection))
    , request_(request)
    , counts_(counts)
{
    const auto target = internal::view(request_.target());
    const auto mark = target.find('?');
    path_ = target.substr(0, mark);
    if (mark != std::string_view::npos) {
        query_ = target.substr(mark + 1);
    }
    counts_.in += request_.body().size();
}

bool Exchange::isPost() const { return request_.method() == http::verb::post; }

std::string Exchange::header(std::string_view name) const
{
    const auto found = request_.find(internal::beastView(name));
    return found == request_.end() ? std::string() : std::string(internal::view(found->value()));
}

std::string Exchange::parameter(std::string_view name) const
{
    std::string_view rest = query_;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        if (const auto equals = part.find('='); equals != std::string_view::npos && part.substr(0, equals) == name) {
            return std::string(part.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

std::uint64_t Exchange::number(std::string_view name, std::uint64_t fallback) const
{
    const auto text = parameter(name);
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stop == end ? value : fallback;
}

Awaitable<void> Exchange::wait(Signal& signal, Clock::time_point deadline)
{
    if (isClosed()) {
        co_return;
    }
    const auto executor = co_await asio::this_coro::executor;
    Waiter waiter(executor, deadline);
    waiter.add(signal);
    waiter.add(connection_->closing);
    co_await waiter.wait();
}

Awaitable<void> Exchange::sleep(Milliseconds duration)
{
    const auto deadline = Clock::now() + toClock(duration);
    while (!isClosed() && Clock::now() < deadline) {
        co_await waitFor(connection_->closing, deadline);
    }
}

Awaitable<void> Exchange::answer(unsigned status, std::string contentType, std::string body)
{
    answered_ = true;
    counts_.out += body.size();
    http::response<http::string_body> response(http::int_to_status(status), request_.version());
    response.set(http::field::content_type, contentType);
    for (const auto& [name, value] : headers_) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.body() = std::move(body);
    if (framed_) {
        response.prepare_payload();
    }
    boost::system::error_code error;
    co_await http::async_write(connection_->socket, response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !framed_) {
        drop();
    }
}

Awaitable<void> Exchange::answerJson(unsigned status, Json body)
{
    co_await answer(status, "application/json", body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Awaitable<void> Exchange::answerError(unsigned status, std::string problem)
{
    Json body = Json::object();
    body["error"] = std::move(problem);
    co_await answerJson(status, std::move(body));
}

Awaitable<void> Exchange::startStream(std::string contentType)
{
    answered_ = true;
    http::response<http::empty_body> response(http::status::ok, request_.version());
    response.set(http::field::content_type, contentType);
    for (const auto& [name, value] : headers_) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.chunked(framed_);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    co_await http::async_write_header(
        connection_->socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        drop();
    }
}

Awaitable<void> Exchange::writeChunk(std::string data)
{
    if (isClosed() || data.empty()) {
        co_return;
    }
    counts_.out += data.size();
    boost::system::error_code error;
    if (framed_) {
        const auto chunk = http::make_chunk(asio::buffer(data));
        co_await asio::async_write(connection_->socket, chunk, asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await asio::async_write(
            connection_->socket, asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        drop();
    }
}

Awaitable<void> Exchange::endStream()
{
    if (isClosed()) {
        co_return;
    }
    if (!framed_) {
        drop();
        co_return;
    }
    const auto last = http::make_chunk_last();
    boost::system::error_code error;
    co_await asio::async_write(connection_->socket, last, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        drop();
    }
}

void Exchange::reset()
{
    boost::system::error_code ignored;
    connection_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    drop();
}

void Exchange::drop()
{
    answered_ = true;
    connection_->close();
}

} // namespace swiftlift::standins
