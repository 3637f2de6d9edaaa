#include "swiftlift/routing/LinkMonitor.h"

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    const FailureDomain thirdDomain { "moose-jaw" };

    class LinkMonitorTest : public TableTest {
    protected:
        LinkMonitor monitor_;
        const ServersByDomain servers_ { { ownDomain, { engine(1), engine(2) } }, { otherDomain, { engine(3) } } };

        /** Ends the probes of a domain that was never connected to, with connections to all. */
        void testAll()
        {
            for (const BackendId& server : monitor_.probes(servers_, now_)) {
                const bool own = server != engine(3);
                monitor_.onProbeEnded(own ? ownDomain : otherDomain, server, ConnectResult::Connected, now_);
            }
        }
    };

    // Guards against a VM that takes the loss of all its links for crashes of servers, one after the other.
    TEST_F(LinkMonitorTest, LinksAreLostWhenTwoServersInARowCannotBeReached)
    {
        monitor_.onUnreachable(ownDomain, engine(1), now_);
        monitor_.onUnreachable(ownDomain, engine(1), now_);
        EXPECT_FALSE(monitor_.linksLost(now_)) << "one server may have crashed";
        monitor_.onUnreachable(otherDomain, engine(3), now_);
        EXPECT_TRUE(monitor_.linksLost(now_));
        EXPECT_FALSE(monitor_.linksLost(now_ + 3s)) << "nothing has been tried since";
    }

    // Guards against requests that take the way through peers because two servers crashed shortly after each other.
    TEST_F(LinkMonitorTest, LinksAreNotLostWhileConnectionsAreMade)
    {
        monitor_.onConnected(ownDomain, now_);
        monitor_.onUnreachable(ownDomain, engine(1), now_ + 50ms);
        monitor_.onUnreachable(otherDomain, engine(3), now_ + 50ms);
        EXPECT_FALSE(monitor_.linksLost(now_ + 50ms));
        EXPECT_TRUE(monitor_.linksLost(now_ + 150ms));
    }

    TEST_F(LinkMonitorTest, AConnectionInBetweenShowsThatLinksWork)
    {
        monitor_.onUnreachable(ownDomain, engine(1), now_);
        monitor_.onConnected(thirdDomain, now_);
        monitor_.onUnreachable(otherDomain, engine(3), now_);
        EXPECT_FALSE(monitor_.linksLost(now_));
    }

    // Guards against links that count as working because connections from before the partition live on.
    TEST_F(LinkMonitorTest, AnswersOnOlderConnectionsShowNothingOfLinks)
    {
        monitor_.onUnreachable(ownDomain, engine(1), now_);
        monitor_.onAnswered(ownDomain);
        monitor_.onUnreachable(otherDomain, engine(3), now_);
        EXPECT_TRUE(monitor_.linksLost(now_));
    }

    // Guards against a partition that accepts connections and then resets them, and is not noticed.
    TEST_F(LinkMonitorTest, LinksAreLostWhenTwoServersInARowCloseNewConnections)
    {
        monitor_.onClosed(ownDomain, engine(1), now_);
        monitor_.onClosed(ownDomain, engine(1), now_);
        EXPECT_FALSE(monitor_.linksLost(now_)) << "one server may have crashed";
        EXPECT_TRUE(monitor_.linksDoubtful(now_));
        monitor_.onProbeEnded(otherDomain, engine(3), ConnectResult::Closed, now_);
        EXPECT_TRUE(monitor_.linksLost(now_));
        monitor_.onConnected(ownDomain, now_);
        EXPECT_FALSE(monitor_.linksLost(now_ + 1s));
    }

    // Guards against servers without room, which reset new connections, that are taken for lost links.
    TEST_F(LinkMonitorTest, AnAnswerShowsThatServersCloseConnectionsForReasonsOfTheirOwn)
    {
        monitor_.onClosed(ownDomain, engine(1), now_);
        monitor_.onAnswered(ownDomain);
        monitor_.onClosed(otherDomain, engine(3), now_);
        EXPECT_FALSE(monitor_.linksLost(now_));
    }

    // Guards against requests that wait for a connection timeout each time a lost link is tried again.
    TEST_F(LinkMonitorTest, LostLinksStayKnownByProbesUntilOneConnects)
    {
        testAll();
        now_ += 200ms;
        monitor_.onUnreachable(ownDomain, engine(1), now_);
        monitor_.onUnreachable(otherDomain, engine(3), now_);
        for (int round = 0; round < 20; ++round) {
            now_ += 300ms;
            const auto probes = monitor_.probes(servers_, now_);
            ASSERT_EQ(probes.size(), 2U) << "one of each domain";
            for (const BackendId& server : probes) {
                monitor_.onProbeEnded(
                    server == engine(3) ? otherDomain : ownDomain, server, ConnectResult::Unreachable, now_);
            }
            ASSERT_TRUE(monitor_.linksLost(now_));
        }
        now_ += 300ms;
        const auto probes = monitor_.probes(servers_, now_);
        ASSERT_FALSE(probes.empty());
        monitor_.onProbeEnded(ownDomain, probes.front(), ConnectResult::Connected, now_);
        EXPECT_FALSE(monitor_.linksLost(now_));
    }

    TEST_F(LinkMonitorTest, DomainsAreProbedOnceWhenTheyAreNew)
    {
        testAll();
        now_ += 1s;
        EXPECT_TRUE(monitor_.probes(servers_, now_).empty());
        EXPECT_FALSE(monitor_.needsProbes(now_));
    }

    // Guards against a partition that hangs connections and is noticed only when the first of them times out.
    TEST_F(LinkMonitorTest, SilenceOfAllServersIsProbed)
    {
        testAll();
        now_ += 1s;
        monitor_.onSilence();
        EXPECT_EQ(monitor_.probes(servers_, now_).size(), 2U);
    }

} // namespace
} // namespace swiftlift::routing::test
