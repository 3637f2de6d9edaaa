#include "transport/BackendPool.h"

#include <utility>

#include <sys/socket.h>

#include "transport/ConnectionLimits.h"

namespace swiftlift::transport::internal {

namespace {

    /** @return Whether the connection is open and has no unread bytes, as an idle connection must be. */
    bool isOpenAndSilent(boost::asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

} // namespace

BackendConnection::BackendConnection(boost::asio::io_context& loop)
    : socket(loop)
{
}

BackendPool::BackendPool(StreamContext& context)
    : context_(context)
    , idle_({ context.limits.idlePerBackend, context.limits.idleBackends })
{
}

BackendPool::ConnectionPtr BackendPool::take(const BackendId& backend, bool anyAge)
{
    using Clock = std::chrono::steady_clock;
    const auto now = Clock::now();
    const auto maxAge = anyAge ? std::nullopt : std::optional<Clock::duration>(context_.limits.freshIdleTime);
    while (const auto taken = idle_.take(backend, now, maxAge)) {
        const ConnectionPtr& connection = *taken;
        connection->idle = false;
        boost::system::error_code ignored;
        connection->socket.cancel(ignored);
        if (isOpenAndSilent(connection->socket)) {
            return connection;
        }
        close(*connection);
    }
    return nullptr;
}

void BackendPool::giveBack(
    const BackendId& backend, ConnectionPtr connection, std::optional<std::chrono::seconds> advertisedIdleTime)
{
    connection->idle = true;
    ++connection->idlePeriod;
    watch(backend, connection);
    const auto surplus = idle_.add(backend, std::move(connection), std::chrono::steady_clock::now(),
        idleLimitFor(advertisedIdleTime, context_.limits));
    if (surplus) {
        close(**surplus);
    }
    context_.counts.idleBackends = idle_.size();
}

void BackendPool::watch(const BackendId& backend, const ConnectionPtr& connection)
{
    connection->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
        [this, backend, connection, idlePeriod = connection->idlePeriod](const boost::system::error_code& error) {
            if (!error && connection->idle && connection->idlePeriod == idlePeriod) {
                idle_.drop(backend, connection);
                close(*connection);
            }
        });
}

void BackendPool::close(BackendConnection& connection)
{
    connection.idle = false;
    boost::system::error_code ignored;
    connection.socket.close(ignored);
}

void BackendPool::sweep()
{
    for (const auto& connection : idle_.expire(std::chrono::steady_clock::now())) {
        close(*connection);
    }
    context_.counts.idleBackends = idle_.size();
}

void BackendPool::clear()
{
    for (const auto& connection : idle_.clear()) {
        close(*connection);
    }
}

} // namespace swiftlift::transport::internal
