#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "swiftlift/transport/HttpClient.h"
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

    /** @return The port of the other side; 0: the descriptor is no TCP connection. */
    std::uint16_t remotePortOf(int descriptor)
    {
        sockaddr_in address {};
        socklen_t size = sizeof(address);
        const bool isConnection = option(descriptor, SOL_SOCKET, SO_TYPE) == SOCK_STREAM
            && ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0
            && address.sin_family == AF_INET;
        return isConnection ? ntohs(address.sin_port) : 0;
    }

    /** @return This process' connections to the port. */
    std::vector<ConnectionFacts> connectionsTo(std::uint16_t port)
    {
        std::vector<ConnectionFacts> found;
        for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            const int descriptor = std::stoi(entry.path().filename().string());
            if (remotePortOf(descriptor) != port) {
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
        const auto connections = connectionsTo(endpoint->port);
        EXPECT_FALSE(connections.empty());
        for (const ConnectionFacts& facts : connections) {
            expectGivesUpInTime(facts);
        }
        call.join();
    }

} // namespace
} // namespace swiftlift::transport::test
