#include "node/ReplicaLink.h"

#include <gtest/gtest.h>

namespace swiftlift::node {
namespace {

    using std::chrono::milliseconds;

    const Incarnation replica { 7 };
    constexpr Duration period = milliseconds(20);

    class ReplicaLinkTest : public ::testing::Test {
    protected:
        ReplicaLinkTest()
            : outbox_(Incarnation { 1 })
        {
            link_.setTarget(replica);
            (void)outbox_.add(ledger::CloseGrant {});
            (void)link_.takeDueItems(outbox_, period, now_);
        }

        /** Advances the clock in steps, as for a router that is not paused. */
        void advance(Duration time)
        {
            for (const Instant end = now_ + time; now_ < end;) {
                now_ += period;
                (void)link_.takeDueItems(outbox_, period, now_);
            }
        }

        ledger::Outbox outbox_;
        ReplicaLink link_;
        Instant now_ { std::chrono::seconds(1) };
    };

    TEST_F(ReplicaLinkTest, ReplicaWithAnOverdueAcknowledgementIsUnresponsive)
    {
        advance(milliseconds(80));
        EXPECT_TRUE(link_.isResponsive(now_));
        advance(milliseconds(40));
        EXPECT_FALSE(link_.isResponsive(now_));
        link_.onCopied(replica, 1, 1, now_);
        EXPECT_TRUE(link_.isResponsive(now_));
    }

    // Guards against answers whose bills have copies in one failure domain only: an author that was paused counted its
    // replica as unresponsive.
    TEST_F(ReplicaLinkTest, OwnPauseDoesNotMakeTheReplicaUnresponsive)
    {
        now_ += std::chrono::seconds(2);
        EXPECT_TRUE(link_.isResponsive(now_)) << "called before pending acknowledgements are processed";
        advance(milliseconds(20));
        EXPECT_TRUE(link_.isResponsive(now_));
        advance(milliseconds(60));
        EXPECT_FALSE(link_.isResponsive(now_)) << "the pause counts as one step of 50 ms";
    }

} // namespace
} // namespace swiftlift::node
