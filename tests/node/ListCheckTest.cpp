#include "node/ListCheck.h"

#include <vector>

#include <gtest/gtest.h>

namespace swiftlift::node {
namespace {

    using std::chrono::milliseconds;

    class ListCheckTest : public testing::Test {
    protected:
        ListCheckTest() { advance(milliseconds(1000)); }

        void advance(Duration time)
        {
            now_ += time;
            context_.begin(now_, actions_);
        }

        [[nodiscard]] std::vector<ReadEnd> asked() const
        {
            std::vector<ReadEnd> found;
            for (const Action& action : actions_) {
                if (const auto* read = std::get_if<ReadEnd>(&action)) {
                    found.push_back(*read);
                }
            }
            return found;
        }

        void answer(std::uint64_t number, std::optional<Offset> end) { check_.on({ stream_, number, end }); }

        Actions actions_;
        Instant now_ {};
        Context context_ { CoreSettings {} };
        StreamName stream_ { "servers" };
        ListCheck check_ { context_, stream_ };
    };

    TEST_F(ListCheckTest, ListIsCompleteOnceItReachesTheEnd)
    {
        check_.onApplied(Offset(4));
        const std::uint64_t number = check_.request();
        EXPECT_EQ(check_.state(number), CheckState::Open);
        answer(number, Offset(6));
        EXPECT_EQ(check_.state(number), CheckState::Open);
        check_.onApplied(Offset(5));
        EXPECT_EQ(check_.state(number), CheckState::Open);
        check_.onApplied(Offset(6));
        EXPECT_EQ(check_.state(number), CheckState::Complete);
    }

    // Guards against a check that the log may have answered before the entry that it is asked for.
    TEST_F(ListCheckTest, CheckThatBeganBeforeDoesNotCount)
    {
        const std::uint64_t first = check_.request();
        const std::uint64_t second = check_.request();
        const std::uint64_t third = check_.request();
        ASSERT_NE(first, second);
        EXPECT_EQ(second, third) << "requests during a check share the next one";
        answer(first, Offset(0));
        EXPECT_EQ(check_.state(first), CheckState::Complete);
        EXPECT_EQ(check_.state(second), CheckState::Open);
        advance(ListCheck::minPeriod);
        check_.tick();
        ASSERT_EQ(asked().size(), 2U);
        answer(second, Offset(0));
        EXPECT_EQ(check_.state(second), CheckState::Complete);
    }

    // Guards against more calls than the log serves.
    TEST_F(ListCheckTest, ChecksBeginAtTheirPeriod)
    {
        check_.setPeriod(milliseconds(100));
        answer(check_.request(), Offset(0));
        const std::uint64_t next = check_.request();
        EXPECT_EQ(asked().size(), 1U);
        advance(milliseconds(99));
        check_.tick();
        EXPECT_EQ(asked().size(), 1U);
        advance(milliseconds(1));
        check_.tick();
        ASSERT_EQ(asked().size(), 2U);
        EXPECT_EQ(asked().back().number, next);
    }

    // Guards against refusals while callers keep coming: a later check must not hide the end of an earlier one.
    TEST_F(ListCheckTest, EarlierCheckEndsThoughALaterOneIsBehind)
    {
        check_.onApplied(Offset(4));
        const std::uint64_t first = check_.request();
        answer(first, Offset(6));
        advance(ListCheck::minPeriod);
        const std::uint64_t second = check_.request();
        answer(second, Offset(8));
        check_.onApplied(Offset(7));
        EXPECT_EQ(check_.state(first), CheckState::Complete);
        EXPECT_EQ(check_.state(second), CheckState::Open);
    }

    TEST_F(ListCheckTest, LogThatDoesNotAnswerFailsTheCheck)
    {
        const std::uint64_t number = check_.request();
        answer(number, std::nullopt);
        EXPECT_EQ(check_.state(number), CheckState::Failed);
        advance(ListCheck::minPeriod);
        const std::uint64_t next = check_.request();
        answer(next, Offset(0));
        EXPECT_EQ(check_.state(next), CheckState::Complete);
    }

    // Guards against an answer that is counted for a later check.
    TEST_F(ListCheckTest, AnswerToAnotherCheckIsIgnored)
    {
        const std::uint64_t number = check_.request();
        answer(number + 1, Offset(0));
        EXPECT_EQ(check_.state(number), CheckState::Open);
    }

} // namespace
} // namespace swiftlift::node
