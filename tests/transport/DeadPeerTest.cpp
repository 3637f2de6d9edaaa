#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "swiftlift/transport/HttpClient.h"
#include "swiftlift/transport/Metrics.h"
#include "swiftlift/transport/OperatorServer.h"
#include "swiftlift/transport/PeerLinks.h"
#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {
namespace {

    /** Time after which a connection to a peer that vanished has to be given up. */
    constexpr int maxSilenceMs = 4'000;

    /** How the system detects that the peer of a connection has vanished. */
    struct ConnectionFacts {
        std::uint16_t remotePort = 0;
        bool keepAlive = false;
        /** Time in milliseconds after which keepalive gives up, by its own count. */
        int keepAliveMs = 0;
        /** Value of TCP_USER_TIMEOUT in milliseconds; 0: not set. */
        int userTimeoutMs = 0;
    };

    int option(int descriptor, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(descriptor, level, name, &value, &size);
        return value;
    }

    /** Reads one of the two addresses of a connection. */
    using AddressReader = int (*)(int, sockaddr*, socklen_t*);

    /** @return The port of a side; 0: the descriptor is no TCP connection. */
    std::uint16_t portOf(int descriptor, AddressReader read)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        const bool isConnection = option(descriptor, SOL_SOCKET, SO_TYPE) == SOCK_STREAM
            && option(descriptor, SOL_SOCKET, SO_ACCEPTCONN) == 0
            && read(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0 && address.sin_family == AF_INET;
        return isConnection ? ntohs(address.sin_port) : 0;
    }

    /** @return This process' connections with that port on one side. */
    std::vector<ConnectionFacts> connectionsWith(std::uint16_t port, AddressReader side)
    {
        std::vector<ConnectionFacts> found;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            const int descriptor = std::stoi(entry.path().filename().string());
            if (portOf(descriptor, side) != port) {
                continue;
            }
            constexpr int millisecondsPerSecond = 1000;
            const int seconds = option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE)
                + option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL) * option(descriptor, IPPROTO_TCP, TCP_KEEPCNT);
            found.push_back({ port, option(descriptor, SOL_SOCKET, SO_KEEPALIVE) != 0, seconds * millisecondsPerSecond,
                option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT) });
        }
        return found;
    }

    std::vector<ConnectionFacts> connectionsTo(std::uint16_t port) { return connectionsWith(port, ::getpeername); }
    std::vector<ConnectionFacts> connectionsFrom(std::uint16_t port) { return connectionsWith(port, ::getsockname); }

    void expectGivesUpInTime(const ConnectionFacts& facts)
    {
        EXPECT_TRUE(facts.keepAlive);
        EXPECT_GT(facts.userTimeoutMs, 0);
        EXPECT_LE(facts.userTimeoutMs, maxSilenceMs) << "it decides when keepalive gives up, whatever its count";
        EXPECT_LE(facts.keepAliveMs, maxSilenceMs);
    }

    class DeadPeerTest : public StreamFixture { };

    // Guards against requests that wait for a backend server whose VM has vanished.
    TEST_F(DeadPeerTest, ConnectionsToBackendServersAreGivenUpInTime)
    {
        start();
        auto caller = this->caller();
        caller.write(request(streamHeader()));
        const auto arrived = nextEvent<node::RequestArrived>(decisions);
        dispatch(arrived, 1);
        auto connection = backend.accept();
        (void)connection.readRequest();
        const auto port = parseEndpoint(backend.address())->port;
        const auto connections = connectionsTo(port);
        ASSERT_FALSE(connections.empty());
        expectGivesUpInTime(connections.front());
    }

    // Guards against a kept connection to the log that has fallen silent and is used for the next call.
    TEST(DeadPeer, ConnectionsToTheLogAreGivenUpInTime)
    {
        Listener log;
        const auto endpoint = parseEndpoint(log.address());
        HttpClient client(*endpoint);
        (void)client.call({}, std::chrono::milliseconds(50));
        HttpClient waiting(*endpoint);
        std::thread call([&] { (void)waiting.call({}, std::chrono::milliseconds(500)); });
        auto connection = log.accept();
        auto second = log.accept();
        // The system accepts a connection before the client can set its options, and the request follows these.
        (void)second.readUntil("\r\n\r\n");
        const auto connections = connectionsTo(endpoint->port);
        EXPECT_FALSE(connections.empty());
        for (const ConnectionFacts& facts : connections) {
            expectGivesUpInTime(facts);
        }
        call.join();
    }

    /** @return The connections that a listener of this process has accepted, once there are any. */
    std::vector<ConnectionFacts> acceptedAt(std::uint16_t port)
    {
        const auto until = std::chrono::steady_clock::now() + longWait;
        std::vector<ConnectionFacts> accepted;
        while (accepted.empty() && std::chrono::steady_clock::now() < until) {
            accepted = connectionsFrom(port);
        }
        return accepted;
    }

    // Guards against a library's own TCP_USER_TIMEOUT that gives up readers of metrics sooner than keepalive's count
    // says.
    TEST(DeadPeer, ConnectionsOfMonitoringHaveNoHiddenLimit)
    {
        const ControlTraffic traffic;
        Metrics metrics(traffic);
        ASSERT_TRUE(metrics.listen({ "127.0.0.1", 0 })) << metrics.lastReason();
        const Connection reader = connectTo(metrics.port());
        const auto accepted = acceptedAt(metrics.port());
        ASSERT_FALSE(accepted.empty());
        EXPECT_EQ(accepted.front().userTimeoutMs, 0);
    }

    // The same for operators.
    TEST(DeadPeer, ConnectionsOfOperatorsHaveNoHiddenLimit)
    {
        DecisionInbox inbox(8);
        OperatorServer server(inbox, std::chrono::milliseconds(200));
        const std::uint16_t port = Listener().port();
        ASSERT_TRUE(server.start({ "127.0.0.1", port })) << server.lastReason();
        Connection reader = connectTo(port);
        reader.write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto accepted = acceptedAt(port);
        ASSERT_FALSE(accepted.empty());
        EXPECT_EQ(accepted.front().userTimeoutMs, 0);
        server.stop();
    }

} // namespace
} // namespace swiftlift::transport::test
