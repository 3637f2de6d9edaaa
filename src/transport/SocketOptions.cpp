#include "transport/SocketOptions.h"

#include <netinet/tcp.h>

namespace swiftlift::transport::internal {

namespace {

    using boost::asio::ip::tcp;

    /** TCP keepalive: idle seconds before the first probe, seconds between probes, and number of unanswered probes. */
    constexpr int probeIdleTime = 1;
    constexpr int probeInterval = 1;
    constexpr int maxLostProbes = 2;
    /** Maximum time that sent bytes or probes may stay unacknowledged, in milliseconds. It also bounds keepalive. */
    constexpr unsigned maxUnacknowledgedTime = 2'500;

    template <int level, int name> using IntOption = boost::asio::detail::socket_option::integer<level, name>;

} // namespace

void detectDeadPeer(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(probeIdleTime), ignored);
    socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(probeInterval), ignored);
    socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(maxLostProbes), ignored);
    socket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(maxUnacknowledgedTime), ignored);
}

void resetOnClose(tcp::socket& socket, bool reset)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(reset, 0), ignored);
}

} // namespace swiftlift::transport::internal
