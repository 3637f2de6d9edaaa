#include "swiftlift/routing/DomainReachability.h"

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class DomainReachabilityTest : public TableTest {
    protected:
        DomainReachability reachability_;
    };

    TEST_F(DomainReachabilityTest, OneUnreachableServerLeavesItsDomainReachable)
    {
        for (int time = 0; time < 5; ++time) {
            reachability_.onBackendUnreachable(otherDomain, engine(3), now_);
        }
        EXPECT_TRUE(reachability_.unreachableDomains(now_).empty());
    }

    TEST_F(DomainReachabilityTest, TwoUnreachableServersCountUntilAServerIsReached)
    {
        reachability_.onBackendUnreachable(otherDomain, engine(3), now_);
        reachability_.onBackendUnreachable(otherDomain, engine(4), now_);
        EXPECT_EQ(reachability_.unreachableDomains(now_), std::set<FailureDomain> { otherDomain });
        reachability_.onBackendReached(otherDomain);
        EXPECT_TRUE(reachability_.unreachableDomains(now_).empty());
    }

    TEST_F(DomainReachabilityTest, UnreachableDomainExpires)
    {
        reachability_.onBackendUnreachable(otherDomain, engine(3), now_);
        reachability_.onBackendUnreachable(otherDomain, engine(4), now_);
        EXPECT_TRUE(reachability_.unreachableDomains(now_ + 3s).empty());
        reachability_.onBackendUnreachable(otherDomain, engine(4), now_ + 3s);
        EXPECT_FALSE(reachability_.unreachableDomains(now_ + 3s).empty());
    }

    // Guards against requests that are refused `not_started` after four connection timeouts while the own domain has
    // idle servers: in a network partition that leaves a router only the servers of its own domain, requests with a
    // prefix would still be placed over all domains.
    TEST_F(DomainReachabilityTest, SelectorAvoidsUnreachableDomainWhileAnotherHasUsableServers)
    {
        setEngines(2, 2);
        const auto rendezvous = selector("rendezvous");
        for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
            SelectRequest selectRequest = request(prefix);
            selectRequest.unreachableDomains = { otherDomain };
            const auto choice = rendezvous->choose(selectRequest, table_, now_);
            ASSERT_TRUE(choice);
            EXPECT_TRUE(choice->backend == engine(1) || choice->backend == engine(2));
            selectRequest.excluded = { engine(1), engine(2) };
            EXPECT_TRUE(rendezvous->choose(selectRequest, table_, now_))
                << "no backend server of a reachable domain is left";
        }
    }

} // namespace
} // namespace swiftlift::routing::test
