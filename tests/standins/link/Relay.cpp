#include "link/Relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>

namespace swiftlift::standins {

namespace internal {

    constexpr std::size_t receiveSize = 64U << 10U;
    /** More than this on its way stops the reading. */
    constexpr std::size_t mostBytesOnTheWay = 1U << 20U;

    struct Chunk {
        Clock::time_point due;
        /** Empty: the sender has ended. */
        std::string data;
    };

    void closeWithReset(Tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(Tcp::socket::linger(true, 0), ignored);
        socket.close(ignored);
    }

} // namespace internal

struct Relay::Direction {
    Tcp::socket& from;
    Tcp::socket& to;
    Path& path;
    std::deque<internal::Chunk> chunks;
    std::size_t bytes = 0;
    Signal changed;
};

Relay::Relay(std::shared_ptr<LinkState> link, Tcp::socket near)
    : link_(std::move(link))
    , near_(std::move(near))
    , far_(near_.get_executor())
{
}

void Relay::reset()
{
    closed_ = true;
    internal::closeWithReset(near_);
    internal::closeWithReset(far_);
    closing_.notify();
}

Awaitable<void> Relay::waitOpen(Signal& signal)
{
    const auto executor = co_await asio::this_coro::executor;
    Waiter waiter(executor, Clock::time_point::max());
    waiter.add(signal);
    waiter.add(closing_);
    co_await waiter.wait();
}

Awaitable<void> Relay::waitUncut(const Path& path)
{
    while (path.cut && !closed_) {
        co_await waitOpen(link_->changed);
    }
}

Awaitable<void> Relay::connect(Tcp::endpoint to, std::optional<asio::ip::address> from)
{
    boost::system::error_code error;
    far_.open(to.protocol(), error);
    if (!error && from) {
        far_.bind(Tcp::endpoint(*from, 0), error);
    }
    if (!error) {
        co_await far_.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        reset();
    }
}

Awaitable<void> Relay::run(Tcp::endpoint to, std::optional<asio::ip::address> from)
{
    // A connection is set up by messages both ways, so it needs both.
    while ((link_->forward.cut || link_->backward.cut) && !closed_) {
        co_await waitUncut(link_->forward);
        co_await waitUncut(link_->backward);
    }
    if (!closed_) {
        co_await connect(to, from);
    }
    if (closed_) {
        co_return;
    }
    boost::system::error_code ignored;
    near_.set_option(Tcp::no_delay(true), ignored);
    far_.set_option(Tcp::no_delay(true), ignored);
    startDirection(near_, far_, link_->forward);
    startDirection(far_, near_, link_->backward);
}

void Relay::startDirection(Tcp::socket& from, Tcp::socket& to, Path& path)
{
    const auto direction = std::shared_ptr<Direction>(new Direction { from, to, path, {}, 0, {} });
    const auto executor = near_.get_executor();
    // A coroutine's body starts later, when run() may have ended: until then the functions keep the relay alive.
    const auto self = shared_from_this();
    asio::co_spawn(
        executor, [self, direction] { return self->receive(direction); }, asio::detached);
    asio::co_spawn(
        executor, [self, direction] { return self->send(direction); }, asio::detached);
}

Awaitable<void> Relay::receive(std::shared_ptr<Direction> direction)
{
    std::string buffer(internal::receiveSize, '\0');
    while (!closed_) {
        co_await waitUncut(direction->path);
        boost::system::error_code error;
        const auto target = asio::buffer(buffer);
        const auto size
            = co_await direction->from.async_read_some(target, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != asio::error::eof) {
            // A reset is a message too: it doesn't get through a cut.
            co_await waitUncut(direction->path);
            reset();
            co_return;
        }
        direction->chunks.push_back({ Clock::now() + toClock(link_->delay), buffer.substr(0, size) });
        direction->bytes += size;
        direction->changed.notify();
        if (error) {
            co_return;
        }
        while (direction->bytes > internal::mostBytesOnTheWay && !closed_) {
            co_await waitOpen(direction->changed);
        }
    }
}

Awaitable<void> Relay::send(std::shared_ptr<Direction> direction)
{
    while (!closed_) {
        if (direction->chunks.empty()) {
            co_await waitOpen(direction->changed);
            continue;
        }
        const auto chunk = std::move(direction->chunks.front());
        direction->chunks.pop_front();
        co_await sleepFor(chunk.due - Clock::now());
        co_await waitUncut(direction->path);
        boost::system::error_code error;
        if (chunk.data.empty()) {
            direction->to.shutdown(Tcp::socket::shutdown_send, error);
            co_return;
        }
        const auto source = asio::buffer(chunk.data);
        co_await asio::async_write(direction->to, source, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            reset();
            co_return;
        }
        direction->path.bytes += chunk.data.size();
        direction->bytes -= chunk.data.size();
        direction->changed.notify();
    }
}

} // namespace swiftlift::standins
