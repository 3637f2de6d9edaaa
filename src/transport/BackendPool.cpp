#include "transport/BackendPool.h"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

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
{
}

BackendPool::ConnectionPtr BackendPool::take(const BackendId& backend, bool anyAge)
{
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = std::chrono::steady_clock::now();
    while (!connections.empty()) {
        // The most recently used connection, so that surplus ones reach their idle limit.
        ConnectionPtr connection = connections.back();
        if (!anyAge && now - connection->idleSince > context_.limits.freshIdleTime) {
            return nullptr;
        }
        connections.pop_back();
        connection->idle = false;
        boost::system::error_code ignored;
        connection->socket.cancel(ignored);
        if (now - connection->idleSince <= connection->idleLimit && isOpenAndSilent(connection->socket)) {
            return connection;
        }
        connection->socket.close(ignored);
    }
    return nullptr;
}

void BackendPool::giveBack(
    const BackendId& backend, ConnectionPtr connection, std::optional<std::chrono::milliseconds> advertisedIdleTime)
{
    connection->idleLimit
        = std::min(context_.limits.backendIdleTime, advertisedIdleTime.value_or(context_.limits.backendIdleTime) / 2);
    auto& connections = idle_[backend];
    if (connections.size() >= context_.limits.idlePerBackend) {
        return;
    }
    connection->idle = true;
    connection->idleSince = std::chrono::steady_clock::now();
    ++connection->idlePeriod;
    watch(backend, connection);
    connections.push_back(std::move(connection));
}

void BackendPool::watch(const BackendId& backend, const ConnectionPtr& connection)
{
    connection->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
        [this, backend, connection, idlePeriod = connection->idlePeriod](const boost::system::error_code& error) {
            if (!error && connection->idle && connection->idlePeriod == idlePeriod) {
                drop(backend, connection);
            }
        });
}

void BackendPool::drop(const BackendId& backend, const ConnectionPtr& connection)
{
    connection->idle = false;
    boost::system::error_code ignored;
    connection->socket.close(ignored);
    auto& connections = idle_[backend];
    std::erase(connections, connection);
    if (connections.empty()) {
        idle_.erase(backend);
    }
}

void BackendPool::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::pair<BackendId, ConnectionPtr>> expired;
    for (const auto& [backend, connections] : idle_) {
        for (const auto& connection : connections) {
            if (now - connection->idleSince > connection->idleLimit) {
                expired.emplace_back(backend, connection);
            }
        }
    }
    for (const auto& [backend, connection] : expired) {
        drop(backend, connection);
    }
}

void BackendPool::clear()
{
    for (auto& [backend, connections] : idle_) {
        for (const auto& connection : connections) {
            connection->idle = false;
            boost::system::error_code ignored;
            connection->socket.close(ignored);
        }
    }
    idle_.clear();
}

} // namespace swiftlift::transport::internal
