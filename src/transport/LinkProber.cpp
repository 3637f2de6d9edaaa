#include "transport/LinkProber.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <sys/socket.h>

namespace swiftlift::transport::internal {

namespace {

    using boost::asio::ip::tcp;
    using routing::ConnectResult;

    /** Time that a connection must stay open: several times that of a reset on the way back. */
    constexpr std::chrono::milliseconds openTime { 50 };

    /** A probe in progress. */
    struct Probe {
        explicit Probe(boost::asio::io_context& loop)
            : socket(loop)
            , timer(loop)
        {
        }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        bool ended = false;
    };

    void end(StreamContext& context, Probe& probe, const BackendId& backend, ConnectResult result, std::string detail)
    {
        if (std::exchange(probe.ended, true)) {
            return;
        }
        boost::system::error_code ignored;
        probe.timer.cancel(ignored);
        probe.socket.close(ignored);
        context.events.push({ context.incarnation, node::ProbeEnded { backend, result, std::move(detail) } });
    }

    /** @return What a connection that has become readable shows. */
    ConnectResult resultOfReadable(tcp::socket& socket)
    {
        char byte = 0;
        const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count > 0 ? ConnectResult::Connected : ConnectResult::Closed;
    }

    /** Waits whether the connection stays open: what accepts it may not be the backend server. */
    void watch(StreamContext& context, const std::shared_ptr<Probe>& probe, const BackendId& backend)
    {
        probe->timer.expires_after(openTime);
        probe->timer.async_wait([&context, probe, backend](const boost::system::error_code& cancelled) {
            if (!cancelled) {
                end(context, *probe, backend, ConnectResult::Connected, "connected");
            }
        });
        probe->socket.async_wait(
            tcp::socket::wait_read, [&context, probe, backend](const boost::system::error_code& cancelled) {
                if (!cancelled && !probe->ended) {
                    const ConnectResult result = resultOfReadable(probe->socket);
                    end(context, *probe, backend, result,
                        result == ConnectResult::Closed ? "closed at once" : "connected");
                }
            });
    }

} // namespace

void LinkProber::probe(const node::ProbeBackend& order)
{
    const auto endpoint = context_.endpointOf(order.address);
    if (!endpoint) {
        context_.events.push({ context_.incarnation,
            node::ProbeEnded { order.backend, ConnectResult::Unreachable, "no valid address" } });
        return;
    }
    ++context_.counts.backendConnects;
    const auto probe = std::make_shared<Probe>(context_.loop);
    probe->timer.expires_after(context_.limits.connectTime);
    probe->timer.async_wait([this, probe, backend = order.backend](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            end(context_, *probe, backend, ConnectResult::Unreachable, "timeout");
        }
    });
    probe->socket.async_connect(tcp::endpoint(boost::asio::ip::make_address(endpoint->ip), endpoint->port),
        [this, probe, backend = order.backend](const boost::system::error_code& error) {
            if (probe->ended) {
                return;
            }
            if (error) {
                end(context_, *probe, backend, ConnectResult::Unreachable, error.message());
            } else {
                watch(context_, probe, backend);
            }
        });
}

} // namespace swiftlift::transport::internal
