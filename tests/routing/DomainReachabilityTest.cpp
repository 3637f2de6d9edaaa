#include "swiftlift/routing/DomainReachability.h"

#include "routing/TableFixture.h"

namespace swiftlift::routing::test {
namespace {

    class DomainReachabilityTest : public TableTest {
    protected:
        DomainReachability reach_;
    };

    TEST_F(DomainReachabilityTest, OneServerThatIsDownRaisesNoDoubt)
    {
        for (int time = 0; time < 5; ++time) {
            reach_.onBackendUnreachable(away, engine(3), now_);
        }
        EXPECT_TRUE(reach_.unreachableDomains(now_).empty());
    }

    TEST_F(DomainReachabilityTest, TwoServersRaiseItAndAnyAnswerEndsIt)
    {
        reach_.onBackendUnreachable(away, engine(3), now_);
        reach_.onBackendUnreachable(away, engine(4), now_);
        EXPECT_EQ(reach_.unreachableDomains(now_), std::set<FailureDomain> { away });
        reach_.onBackendReached(away);
        EXPECT_TRUE(reach_.unreachableDomains(now_).empty());
    }

    TEST_F(DomainReachabilityTest, ItFadesByItself)
    {
        reach_.onBackendUnreachable(away, engine(3), now_);
        reach_.onBackendUnreachable(away, engine(4), now_);
        EXPECT_TRUE(reach_.unreachableDomains(now_ + 3s).empty());
        reach_.onBackendUnreachable(away, engine(4), now_ + 3s);
        EXPECT_FALSE(reach_.unreachableDomains(now_ + 3s).empty());
    }

    // Symptom: requests with a prefix are refused `not_started` after four connections that timed out, while the own
    // domain has idle servers.
    // Events: a cut leaves this router with the servers of its own domain.
    // Cause: prefixes are placed over all domains, whatever the last attempts there came to.
    TEST_F(DomainReachabilityTest, SelectorPassesOverADoubtfulDomainWhileAnotherHasRoom)
    {
        add(2, 2);
        const auto chooser = selector("rendezvous");
        for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
            SelectRequest wanted = request(prefix);
            wanted.unreachableDomains = { away };
            const auto choice = chooser->choose(wanted, table_, now_);
            ASSERT_TRUE(choice);
            EXPECT_TRUE(choice->backend == engine(1) || choice->backend == engine(2));
            wanted.excluded = { engine(1), engine(2) };
            EXPECT_TRUE(chooser->choose(wanted, table_, now_)) << "nothing else is left";
        }
    }

} // namespace
} // namespace swiftlift::routing::test
