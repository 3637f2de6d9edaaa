#include <gtest/gtest.h>

#include "swiftlift/transport/PeerLinks.h"
#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {

namespace {

    /** The peer links of one router, with the ring that receives their events. */
    struct PeerLinksNode {
        PeerLinksNode(std::string address, Incarnation incarnation, std::map<PeerAddress, Endpoint> via = {})
            : links({ PeerAddress(std::move(address)), std::move(via) }, inbox, traffic, log)
        {
            links.setIncarnation(incarnation);
            EXPECT_TRUE(links.listen()) << links.lastReason();
            links.start();
        }

        void send(const std::string& to, Incarnation receiver, std::uint64_t loan)
        {
            links.inbox().pushOrDrop({ PeerAddress(to), receiver, node::LoanDoneAcked { loan } });
        }

        DecisionInbox inbox { 4096 };
        ControlTraffic traffic;
        logging::JsonLog log { { "/dev/null", logging::Level::Info, "vm", 64 } };
        PeerLinks links;
    };

    std::string freeAddress() { return Listener().address(); }

    std::uint64_t nextAckedLoan(PeerLinksNode& node)
    {
        return std::get<node::LoanDoneAcked>(nextEvent<node::PeerReceived>(node.inbox).message).loan;
    }

} // namespace

TEST(PeerLinks, MessagesArriveWithTheirSender)
{
    const std::string first = freeAddress();
    const std::string second = freeAddress();
    PeerLinksNode a(first, Incarnation(1));
    PeerLinksNode b(second, Incarnation(2));
    a.send(second, Incarnation(), 7);
    const auto received = nextEvent<node::PeerReceived>(b.inbox);
    EXPECT_EQ(received.sender, Incarnation(1));
    EXPECT_EQ(received.address, PeerAddress(first));
    b.send(first, Incarnation(1), 8);
    EXPECT_EQ(nextAckedLoan(a), 8U);
    EXPECT_GT(a.traffic.peers.sent, 0U);
    EXPECT_EQ(a.traffic.peers.sent, b.traffic.peers.received);
}

// Guards against a router that acts on an acknowledgement addressed to the previous process at its address. That
// process crashed while the message was in flight, and the new process uses the same address.
TEST(PeerLinks, MessagesForAnotherIncarnationAreDropped)
{
    const std::string second = freeAddress();
    PeerLinksNode a(freeAddress(), Incarnation(1));
    PeerLinksNode b(second, Incarnation(2));
    a.send(second, Incarnation(99), 1);
    a.send(second, Incarnation(2), 2);
    EXPECT_EQ(nextAckedLoan(b), 2U);
    EXPECT_EQ(b.links.dropped(), 1U);
}

TEST(PeerLinks, ConnectsToThePeersSubstituteAddress)
{
    const std::string real = freeAddress();
    PeerLinksNode b(real, Incarnation(2));
    PeerLinksNode a(freeAddress(), Incarnation(1), { { PeerAddress("127.0.9.9:1"), *parseEndpoint(real) } });
    a.send("127.0.9.9:1", Incarnation(), 3);
    EXPECT_EQ(nextAckedLoan(b), 3U);
}

// Guards against an unreachable peer that blocks a router's messages to all peers or fills its memory. Messages to an
// address without a listener are queued up to the limit and then dropped, while other peers are still reached.
TEST(PeerLinks, UnreachablePeerLosesOnlyItsOwnMessages)
{
    const std::string dead = freeAddress();
    const std::string second = freeAddress();
    PeerLinksNode a(freeAddress(), Incarnation(1));
    PeerLinksNode b(second, Incarnation(2));
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        a.send(dead, Incarnation(), number);
    }
    a.send(second, Incarnation(), 1);
    EXPECT_EQ(nextAckedLoan(b), 1U);
    EXPECT_GT(a.links.dropped(), 0U);
}

TEST(PeerLinks, ListenFailsOnAnAddressInUse)
{
    const Listener taken;
    DecisionInbox inbox(16);
    ControlTraffic traffic;
    logging::JsonLog log({ "/dev/null", logging::Level::Info, "vm", 16 });
    PeerLinks links({ PeerAddress(taken.address()), {} }, inbox, traffic, log);
    EXPECT_FALSE(links.listen());
    EXPECT_NE(links.lastReason().find(taken.address()), std::string::npos);
}

} // namespace swiftlift::transport::test
