#include "node/ReplicaLink.h"

#include <gtest/gtest.h>

namespace swiftlift::node {
namespace {

    using std::chrono::milliseconds;

    const Incarnation keeper { 7 };
    constexpr Duration period = milliseconds(20);

    class ReplicaLinkTest : public ::testing::Test {
    protected:
        ReplicaLinkTest()
            : outbox_(Incarnation { 1 })
        {
            route_.setTarget(keeper);
            (void)outbox_.add(ledger::CloseGrant {});
            (void)route_.due(outbox_, period, now_);
        }

        /** Lets time pass as a router that runs sees it. */
        void pass(Duration time)
        {
            for (const Instant end = now_ + time; now_ < end;) {
                now_ += period;
                (void)route_.due(outbox_, period, now_);
            }
        }

        ledger::Outbox outbox_;
        ReplicaLink route_;
        Instant now_ { std::chrono::seconds(1) };
    };

    TEST_F(ReplicaLinkTest, KeeperThatOwesAnAnswerTooLongIsOutOfTouch)
    {
        pass(milliseconds(80));
        EXPECT_TRUE(route_.inTouch(now_));
        pass(milliseconds(40));
        EXPECT_FALSE(route_.inTouch(now_));
        route_.onCopied(keeper, 1, 1, now_);
        EXPECT_TRUE(route_.inTouch(now_));
    }

    // Bills told with copies in one domain only: an author that was paused took its keeper for silent.
    TEST_F(ReplicaLinkTest, OwnPauseIsNotTheKeepersSilence)
    {
        now_ += std::chrono::seconds(2);
        EXPECT_TRUE(route_.inTouch(now_)) << "asked before the acknowledgements that wait are read";
        pass(milliseconds(20));
        EXPECT_TRUE(route_.inTouch(now_));
        pass(milliseconds(60));
        EXPECT_FALSE(route_.inTouch(now_)) << "the pause counts as one step";
    }

} // namespace
} // namespace swiftlift::node
