#include "swiftlift/transport/StreamServer.h"
#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {
namespace {

    /** Writes a request without end, in a thread of its own, until the connection fails. */
    class RequestWriter {
    public:
        explicit RequestWriter(Connection& connection)
            : thread_([this, &connection] { write(connection); })
        {
        }
        ~RequestWriter() { wait(); }
        RequestWriter(const RequestWriter&) = delete;
        RequestWriter& operator=(const RequestWriter&) = delete;

        /** Waits for the end of the writing. @return The error that ended it. */
        [[nodiscard]] boost::system::error_code failure()
        {
            wait();
            return failure_;
        }

    private:
        void write(Connection& connection)
        {
            const std::string block(64 * 1024, 'x');
            try {
                for (;;) {
                    connection.write(block);
                }
            } catch (const boost::system::system_error& error) {
                failure_ = error.code();
            }
        }

        void wait()
        {
            if (thread_.joinable()) {
                thread_.join();
            }
        }

        boost::system::error_code failure_;
        std::thread thread_;
    };

    /** A router that relays connections; the test acts as the other router, the backend server and the core. */
    class RelayTest : public StreamFixture {
    protected:
        void SetUp() override
        {
            server = std::make_unique<StreamServer>(StreamLimits {}, decisions, observer, log);
            ASSERT_TRUE(server->listen({ "127.0.0.1", 0 }));
            ASSERT_TRUE(server->listenRelay({ "127.0.0.1", relayPort_ })) << server->lastReason();
            server->start();
            sendCommand(BeginIncarnation { incarnation });
        }

        /** @return A connection on which another router has asked for the backend server. */
        [[nodiscard]] Connection askForConnection()
        {
            Connection router = connectTo(relayPort_);
            router.write("CONNECT " + backend.address() + " HTTP/1.1\r\nHost: x\r\nSwiftlift-Backend: s1\r\n\r\n");
            return router;
        }

        void answer(const std::optional<BackendAddress>& address, bool concernsServer = false)
        {
            const auto asked = nextEvent<node::RelayRequested>(decisions);
            EXPECT_EQ(asked.backend, BackendId("s1"));
            sendCommand(node::AnswerRelay { asked.relay, address, "not now", concernsServer });
        }

        /** A connection of another router to the backend server, through the relay. */
        struct RelayedConnection {
            Connection router;
            Connection engine;
        };

        [[nodiscard]] RelayedConnection connectThroughRelay()
        {
            Connection router = askForConnection();
            answer(BackendAddress(backend.address()));
            Connection engine = backend.accept();
            static_cast<void>(router.readUntil("\r\n\r\n"));
            return { std::move(router), std::move(engine) };
        }

        /** The server sends the first part of an answer without a length, which arrives at the other router. */
        static void sendPart(RelayedConnection& connection)
        {
            connection.router.write("request\n");
            static_cast<void>(connection.engine.readUntil("request\n"));
            connection.engine.write("HTTP/1.1 200 OK\r\n\r\npart\n");
            static_cast<void>(connection.router.readUntil("part\n"));
        }

        std::uint16_t relayPort_ = Listener().port();
    };

    TEST_F(RelayTest, CarriesBytesBothWaysUntilTheRouterCloses)
    {
        Connection router = askForConnection();
        answer(BackendAddress(backend.address()));
        Connection engine = backend.accept();
        EXPECT_TRUE(router.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
        router.write("request\n");
        EXPECT_EQ(engine.readUntil("\n"), "request\n");
        engine.write("answer\n");
        EXPECT_EQ(router.readUntil("\n"), "answer\n");
        router.close();
        EXPECT_TRUE(engine.closes()) << "the server must not work on for a caller that left";
        EXPECT_EQ(nextEvent<node::RelayEnded>(decisions).bytes, 15U);
    }

    // Guards against the end of an answer that is lost because its server closes the connection after it.
    TEST_F(RelayTest, BytesBeforeTheServersEndArrive)
    {
        Connection router = askForConnection();
        answer(BackendAddress(backend.address()));
        {
            Connection engine = backend.accept();
            engine.write("last\n");
            engine.close();
        }
        EXPECT_TRUE(router.readUntil("\n").ends_with("\n"));
        EXPECT_TRUE(router.readUntil("last\n").ends_with("last\n"));
        EXPECT_TRUE(router.closes());
    }

    // Guards against an answer that ends with its connection and looks cut off, though its server sent all of it.
    TEST_F(RelayTest, ServersOrderlyEndIsPassedOn)
    {
        RelayedConnection connection = connectThroughRelay();
        sendPart(connection);
        connection.engine.close();
        EXPECT_FALSE(connection.router.isReset());
    }

    // Guards against an answer without a length that a server breaks off, and that looks complete behind a relay.
    TEST_F(RelayTest, ServersResetIsPassedOn)
    {
        RelayedConnection connection = connectThroughRelay();
        sendPart(connection);
        connection.engine.reset();
        EXPECT_TRUE(connection.router.isReset());
        EXPECT_EQ(nextEvent<node::RelayEnded>(decisions).detail.find("connection to the backend server lost"), 0U);
    }

    // Guards against an answer without a length that is cut by the relay's own end, and that looks complete.
    TEST_F(RelayTest, StopOfTheRelayIsNoOrderlyEnd)
    {
        RelayedConnection connection = connectThroughRelay();
        sendPart(connection);
        server->stop(std::chrono::milliseconds(0));
        EXPECT_TRUE(connection.router.isReset());
    }

    // Guards against a server's reset that is noticed while the request is written, and then read as an orderly end.
    TEST_F(RelayTest, ResetWhileTheRequestIsWrittenIsPassedOn)
    {
        RelayedConnection connection = connectThroughRelay();
        connection.engine.limitReceiveBuffer(4096);
        // The reset is reported to whichever of the two meets it first, the write or the read.
        RequestWriter writer(connection.router);
        connection.engine.write("HTTP/1.1 200 OK\r\n\r\npart\n");
        static_cast<void>(connection.router.readUntil("part\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        connection.engine.reset();
        const bool readMetReset = connection.router.isReset();
        const bool writeMetReset = writer.failure() == boost::asio::error::connection_reset;
        EXPECT_TRUE(readMetReset || writeMetReset);
    }

    // Guards against a server's reset that is passed on as an orderly end, because the end is handled before the
    // failure of the write that met the reset.
    TEST_F(RelayTest, ResetAtAnyTimeWhileTheRequestIsWrittenIsPassedOn)
    {
        constexpr int maxPause = 40;
        constexpr int roundsPerPause = 4;
        for (int pause = 0; pause < maxPause; ++pause) {
            int reset = 0;
            for (int round = 0; round < roundsPerPause; ++round) {
                RelayedConnection connection = connectThroughRelay();
                RequestWriter writer(connection.router);
                connection.engine.write("HTTP/1.1 200 OK\r\n\r\npart\n");
                static_cast<void>(connection.router.readUntil("part\n"));
                std::this_thread::sleep_for(std::chrono::microseconds(50 * pause));
                connection.engine.reset();
                const bool readMetReset = connection.router.isReset();
                const bool writeMetReset = writer.failure() == boost::asio::error::connection_reset;
                reset += readMetReset || writeMetReset ? 1 : 0;
            }
            EXPECT_EQ(reset, roundsPerPause) << "reset after " << 50 * pause << " us";
        }
    }

    // Guards against a reset after a server's orderly end that doesn't reach the router, which still sends its request.
    TEST_F(RelayTest, ResetAfterTheServersEndWhileTheRequestIsWrittenIsPassedOn)
    {
        RelayedConnection connection = connectThroughRelay();
        connection.engine.limitReceiveBuffer(4096);
        RequestWriter writer(connection.router);
        connection.engine.write("HTTP/1.1 200 OK\r\n\r\npart\n");
        connection.engine.endSending();
        static_cast<void>(connection.router.readUntil("part\n"));
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        connection.engine.reset();
        EXPECT_TRUE(writer.failure());
    }

    // Guards against a limit or rest that is learnt from an answer whose status is none.
    TEST_F(RelayTest, AnswerWithoutAStatusStatesNothing)
    {
        for (const char* const status : { "000", "099", "600", "999" }) {
            RelayedConnection connection = connectThroughRelay();
            const std::string head = std::string("HTTP/1.1 ") + status
                + " x\r\nRetry-After: 30\r\nX-Limit: 25\r\nContent-Length: 0\r\n\r\n";
            connection.engine.write(head);
            EXPECT_EQ(connection.router.readUntil("\r\n\r\n"), head);
            connection.router.close();
            static_cast<void>(nextEvent<node::RelayEnded>(decisions, [status](const node::Event& event) {
                EXPECT_FALSE(std::holds_alternative<node::BackendAnnounced>(event)) << status;
            }));
        }
    }

    // Guards against a relay that goes on sending to a server that has asked its address for rest, in an answer to a
    // request of another router.
    TEST_F(RelayTest, WhatTheServerStatesIsHeededByTheRelayToo)
    {
        Connection router = askForConnection();
        answer(BackendAddress(backend.address()));
        Connection engine = backend.accept();
        (void)router.readUntil("\r\n\r\n");
        const std::string start = "HTTP/1.1 503 Full\r\nRetry-After: ";
        const std::string rest = "3\r\nX-Limit: 2.5\r\nContent-Length: 4\r\n\r\nfull";
        engine.write(start);
        EXPECT_EQ(router.readUntil("After: "), start);
        engine.write(rest);
        EXPECT_EQ(router.readUntil("full"), rest);
        const auto announced = nextEvent<node::BackendAnnounced>(decisions);
        EXPECT_EQ(announced.backend, BackendId("s1"));
        EXPECT_EQ(announced.announcement.rest, std::chrono::seconds(3));
        EXPECT_EQ(announced.announcement.limit, 2.5);
    }

    // Guards against a limit or rest that a relay reads from a part of an answer's head.
    TEST_F(RelayTest, PartOfAHeadStatesNothing)
    {
        const std::string head = "HTTP/1.1 503 Full\r\nRetry-After: 30\r\nX-Limit: 25\r\n\r\n";
        for (std::size_t bytes = 1; bytes < head.size(); ++bytes) {
            RelayedConnection connection = connectThroughRelay();
            connection.engine.write(head.substr(0, bytes));
            connection.engine.close();
            EXPECT_TRUE(connection.router.closes());
            connection.router.close();
            static_cast<void>(nextEvent<node::RelayEnded>(decisions, [bytes](const node::Event& event) {
                EXPECT_FALSE(std::holds_alternative<node::BackendAnnounced>(event)) << bytes;
            }));
        }
    }

    TEST_F(RelayTest, RefusalNamesItsReason)
    {
        Connection router = askForConnection();
        answer(std::nullopt);
        EXPECT_TRUE(router.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503 not now"));
        EXPECT_TRUE(router.closes());
    }

    // Guards against a router that leaves a relay alone because of one server that gets no requests.
    TEST_F(RelayTest, RefusalBecauseOfTheServerIsToldApart)
    {
        Connection router = askForConnection();
        answer(std::nullopt, true);
        EXPECT_TRUE(router.readUntil("\r\n\r\n").starts_with("HTTP/1.1 403 not now"));
    }

    // Guards against a router that takes a server that can't be reached for a relay that refuses.
    TEST_F(RelayTest, UnreachableServerIsReported)
    {
        Connection router = askForConnection();
        // The listener is closed before the relay connects.
        const std::string address = Listener().address();
        answer(BackendAddress(address));
        EXPECT_TRUE(router.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
        EXPECT_EQ(nextEvent<node::RelayEnded>(decisions).failure, node::ConnectFailure::Server);
    }

    // Guards against a relay whose links accept connections and then reset them, and that doesn't notice it.
    TEST_F(RelayTest, ConnectionThatIsClosedBeforeAnythingArrivesIsReported)
    {
        Connection router = askForConnection();
        answer(BackendAddress(backend.address()));
        backend.accept().close();
        EXPECT_TRUE(router.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(router.closes());
        router.close();
        EXPECT_EQ(nextEvent<node::RelayEnded>(decisions).failure, node::ConnectFailure::Closed);
    }

    // Guards against a chain of relays, or a proxy to any address: only backend servers that the core knows are
    // reached.
    TEST_F(RelayTest, RequestsThatNameNoBackendServerAreClosed)
    {
        Connection router = connectTo(relayPort_);
        router.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_TRUE(router.closes());
    }

} // namespace
} // namespace swiftlift::transport::test
