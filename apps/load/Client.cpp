#include "load/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <limits>
#include <utility>

#include "load/AnswerLines.h"
#include "load/Requests.h"

namespace swiftlift::load {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::size_t chunkBytes = 16 * 1024;
    /** The server may already have closed a connection that was idle for longer. */
    constexpr std::chrono::seconds maxIdleTime { 2 };
    /** Added to the request's deadline before the client times out, so that the final line can still arrive. */
    constexpr std::chrono::seconds deadlineMargin { 5 };
    constexpr auto useAwaitable = asio::use_awaitable;

    [[nodiscard]] std::chrono::microseconds elapsed(
        std::chrono::steady_clock::time_point from, std::chrono::steady_clock::time_point until)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(until - from);
    }

} // namespace

Client::Client(const Options& options)
    : options_(options)
    , context_(1)
    , routerPools_(options.routers.size())
    , enginePools_(options.engines.size())
{
}

std::vector<Result> Client::run(const std::vector<Arrival>& schedule)
{
    results_.reserve(schedule.size());
    start_ = Clock::now();
    asio::co_spawn(context_, sendAll(schedule), asio::detached);
    context_.run();
    return std::move(results_);
}

const Target& Client::targetOf(const Arrival& arrival) const
{
    return arrival.direct ? options_.engines[arrival.target] : options_.routers[arrival.target];
}

Client::Pool& Client::poolOf(const Arrival& arrival)
{
    return arrival.direct ? enginePools_[arrival.target] : routerPools_[arrival.target];
}

asio::awaitable<void> Client::sendAll(const std::vector<Arrival>& schedule)
{
    asio::steady_timer timer(context_);
    for (const Arrival& arrival : schedule) {
        timer.expires_at(scheduledTime(arrival));
        co_await timer.async_wait(useAwaitable);
        asio::co_spawn(context_, sendOne(arrival), asio::detached);
    }
}

asio::awaitable<void> Client::sendOne(Arrival arrival)
{
    Result result;
    result.arrival = arrival;
    result.late = elapsed(scheduledTime(arrival), Clock::now());
    try {
        co_await exchange(arrival, result);
    } catch (const boost::system::system_error& error) {
        // The response is incomplete, even if an outcome was already parsed.
        result.kind = ResultKind::Error;
        result.reason = error.code() == beast::error::timeout ? "timeout" : error.code().message();
    }
    result.whole = elapsed(scheduledTime(arrival), Clock::now());
    results_.push_back(std::move(result));
}

asio::awaitable<void> Client::exchange(const Arrival& arrival, Result& result)
{
    Pool& pool = poolOf(arrival);
    StreamPtr stream = co_await acquireConnection(targetOf(arrival), pool);
    stream->expires_after(options_.deadline + deadlineMargin);
    const HttpRequest request = arrival.direct ? engineRequest(arrival, options_) : routerRequest(arrival, options_);
    co_await http::async_write(*stream, request, useAwaitable);

    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    // In this version of Beast, body_limit(boost::none) rejects every body with a Content-Length, which would turn
    // refusals into errors.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(*stream, buffer, parser, useAwaitable);
    AnswerLines answerParser(result, scheduledTime(arrival));
    std::array<char, chunkBytes> chunk {};
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        boost::system::error_code error;
        co_await http::async_read_some(*stream, buffer, parser, asio::redirect_error(useAwaitable, error));
        if (error && error != http::error::need_buffer) {
            throw boost::system::system_error(error);
        }
        answerParser.consume({ chunk.data(), chunk.size() - parser.get().body().size }, Clock::now());
    }
    answerParser.finish(static_cast<int>(parser.get().result_int()));
    if (parser.get().keep_alive()) {
        stream->expires_never();
        pool.push_back({ std::move(stream), Clock::now() });
    }
}

asio::awaitable<Client::StreamPtr> Client::acquireConnection(const Target& target, Pool& pool)
{
    while (!pool.empty()) {
        IdleConnection idle = std::move(pool.back());
        pool.pop_back();
        if (Clock::now() - idle.idleSince < maxIdleTime) {
            co_return std::move(idle.stream);
        }
        pool.clear();
    }
    auto stream = std::make_unique<Stream>(context_);
    stream->expires_after(options_.deadline);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.host), target.port);
    co_await stream->async_connect(endpoint, useAwaitable);
    stream->socket().set_option(asio::ip::tcp::no_delay(true));
    co_return std::move(stream);
}

} // namespace swiftlift::load
