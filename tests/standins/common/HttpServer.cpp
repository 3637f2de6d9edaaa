#include "common/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace swiftlift::standins {

namespace http = boost::beast::http;

namespace internal {

    constexpr std::uint64_t bodyLimit = 16U << 20U;
    constexpr Milliseconds acceptPause { 100 };

    /** @return Whether the other side has closed; bytes of a next request don't count. */
    bool hasEnded(Tcp::socket& socket)
    {
        char byte = 0;
        const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    /** Sees the other side close while a handler works: a closed connection is how a call is cancelled. */
    void watchEnd(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_wait(Tcp::socket::wait_read, [connection](boost::system::error_code error) {
            if (error || connection->closed || !hasEnded(connection->socket)) {
                return;
            }
            connection->closed = true;
            connection->closing.notify();
        });
    }

    Awaitable<void> answerControl(Service& service, Exchange& exchange)
    {
        Json reply = Json::object();
        const auto findings = service.controls().apply(exchange.body(), reply);
        for (const auto& finding : findings) {
            reply["errors"].push_back(toText(finding));
        }
        co_await exchange.answerJson(findings.empty() ? 200 : 400, std::move(reply));
    }

    Awaitable<void> route(Service& service, Exchange& exchange)
    {
        if (exchange.path() == "/control" && exchange.isPost()) {
            co_await answerControl(service, exchange);
        } else if (exchange.path().starts_with("/audit")) {
            co_await exchange.answerJson(200, service.audit(exchange));
        } else {
            co_await service.serve(exchange);
        }
    }

    /** Answers 400 when the handler throws, as JSON and number parsers do. */
    Awaitable<void> dispatch(Service& service, Exchange& exchange)
    {
        std::string problem;
        try {
            co_await route(service, exchange);
        } catch (const std::exception& error) {
            problem = error.what();
        }
        if (!problem.empty() && exchange.isAnswered()) {
            exchange.drop();
        } else if (!problem.empty() && !exchange.isClosed()) {
            co_await exchange.answerError(400, problem);
        }
        if (!exchange.isAnswered() && !exchange.isClosed()) {
            co_await exchange.answerError(404, "not_found");
        }
    }

    Awaitable<void> serveConnection(std::shared_ptr<Connection> connection, Service& service)
    {
        boost::beast::flat_buffer buffer;
        bool keepAlive = true;
        while (keepAlive && !connection->closed) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(bodyLimit);
            boost::system::error_code error;
            co_await http::async_read(
                connection->socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            const auto request = parser.release();
            watchEnd(connection);
            Exchange exchange(connection, request, service.byteCounts());
            co_await dispatch(service, exchange);
            connection->socket.cancel(error);
            keepAlive = request.keep_alive();
        }
        boost::system::error_code ignored;
        connection->socket.close(ignored);
    }

} // namespace internal

Tcp::endpoint parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument(text + ": not of the form ip:port");
    }
    const auto port = std::stoul(text.substr(colon + 1));
    if (port > 0xFFFFU) {
        throw std::invalid_argument(text + ": no such port");
    }
    return { asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port) };
}

HttpServer::HttpServer(asio::io_context& context, const Tcp::endpoint& endpoint, Service& service)
    : context_(context)
    , acceptor_(context, endpoint)
    , service_(service)
{
}

void HttpServer::start()
{
    service_.start(context_);
    asio::co_spawn(context_, accept(), asio::detached);
    asio::co_spawn(context_, followCrashes(), asio::detached);
}

Awaitable<void> HttpServer::followCrashes()
{
    const Tcp::endpoint endpoint = acceptor_.local_endpoint();
    while (true) {
        co_await waitFor(service_.crash().requested());
        acceptor_.close();
        closeAll();
        co_await sleepFor(toClock(service_.crash().downtime()));
        acceptor_ = Tcp::acceptor(context_, endpoint);
        service_.onRestart();
        asio::co_spawn(context_, accept(), asio::detached);
    }
}

void HttpServer::closeAll()
{
    for (const auto& known : std::exchange(connections_, {})) {
        if (const auto connection = known.lock(); connection && !connection->closed) {
            connection->close();
        }
    }
}

Awaitable<void> HttpServer::accept()
{
    while (acceptor_.is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            // Out of descriptors: accepting again at once would spin until some are free.
            co_await sleepFor(internal::acceptPause);
            continue;
        }
        socket.set_option(Tcp::no_delay(true), error);
        auto connection = std::make_shared<Connection>(std::move(socket));
        std::erase_if(connections_, [](const auto& known) { return known.expired(); });
        connections_.push_back(connection);
        asio::co_spawn(context_, internal::serveConnection(std::move(connection), service_), asio::detached);
    }
}

} // namespace swiftlift::standins
