#include "node/CoreFixture.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    class CoreLinksTest : public CoreTest {
    protected:
        /** Sends a request to the first VM and waits for its answer. @return The answer. */
        [[nodiscard]] Reply ask(const std::string& id, bool idempotent = true)
        {
            TestRequest request;
            request.id = id;
            request.idempotent = idempotent;
            const auto reply = fleet.await(fleet.send(0, request));
            EXPECT_TRUE(reply.has_value());
            return reply.value_or(Reply {});
        }
    };

    // Guards against a VM of the project's own interface that has no links to engines and refuses what its peers could
    // serve, runs a request twice or bills it twice.
    TEST_F(CoreLinksTest, VmWithoutLinksServesThroughItsPeers)
    {
        fleet.cutFromEngines(0);
        fleet.run(milliseconds(500));
        for (int number = 0; number < 5; ++number) {
            const std::string id = "r" + std::to_string(number);
            EXPECT_EQ(ask(id, number % 2 == 0).outcome, Outcome::Answered) << id;
            EXPECT_EQ(fleet.runsOf("club", id), 1) << id;
        }
        fleet.run(seconds(2));
        EXPECT_EQ(billedInLedger(), Tokens { 5 * 30 });
        EXPECT_EQ(fleet.linesOf(0, "links").size(), 1U);
    }

    // Guards against a VM that goes on through its peers after its links work again.
    TEST_F(CoreLinksTest, LinksAreUsedAgainOnceTheyWork)
    {
        fleet.cutFromEngines(0);
        fleet.run(milliseconds(500));
        EXPECT_EQ(ask("within").outcome, Outcome::Answered);
        fleet.heal();
        fleet.run(seconds(1));
        for (const std::size_t peer : { 1U, 2U, 3U }) {
            fleet.cutFromEngines(peer);
        }
        EXPECT_EQ(ask("after").outcome, Outcome::Answered);
    }

    // Guards against callers that wait for their deadline, or are told wrongly that nothing has run, where no VM has
    // links.
    TEST_F(CoreLinksTest, FleetWithoutLinksRefusesAndNothingRuns)
    {
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.cutFromEngines(vm);
        }
        fleet.run(seconds(2));
        const Instant sent = fleet.now();
        const Reply reply = ask("r1");
        EXPECT_EQ(reply.status, 503);
        EXPECT_EQ(reply.outcome, Outcome::NotRun);
        EXPECT_LT(fleet.now() - sent, milliseconds(500));
        EXPECT_EQ(fleet.runsOf("club", "r1"), 0);
    }

} // namespace
} // namespace swiftlift::node::testing
