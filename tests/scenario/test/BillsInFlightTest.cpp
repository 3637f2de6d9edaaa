#include "BillsInFlight.h"

#include <gtest/gtest.h>

#include "swiftlift/transport/Hashing.h"

// What tells a run that met a bill in flight from one that missed the moment.
namespace swiftlift::scenario {

namespace {

    const Incarnation author { 0xA1 };

    Moment at(int milliseconds) { return Moment(Milliseconds(milliseconds)); }

    class BillsInFlightTest : public testing::Test {
    protected:
        BillsInFlightTest()
        {
            mark_.vms = { "lodz-a-1", "lodz-a-2" };
            mark_.at = at(100);
            mark_.records = 1;
            lines_["lodz-a-1"] = { { { "kind", "start" }, { "incarnation", transport::toHex(author.value()) } },
                { { "kind", "bill" }, { "request", "last" }, { "distant_keepers", "b2" } } };
        }

        void answered(const std::string& id, const std::string& vm, int sent)
        {
            Observation seen;
            seen.call.account = "league";
            seen.call.id = id;
            seen.call.vm = vm;
            seen.answer.outcome = CallOutcome::Answered;
            seen.answer.billedTokens = 5;
            seen.answer.sentAt = at(sent);
            seen.answer.endedAt = at(sent + 10);
            observations_.push_back(seen);
        }

        void billed(const std::string& id, std::uint64_t sequence)
        {
            ledger::Batch batch;
            const auto key = transport::requestKey(AccountId("league"), CallerRequestId(id));
            batch.items.push_back({ author, sequence, ledger::Bill { key, {}, Tokens(5) } });
            records_.push_back(batch);
        }

        [[nodiscard]] std::vector<BillInFlight> found() const
        {
            return findBillsInFlight(mark_, observations_, records_, lines_);
        }

        KillMark mark_;
        std::vector<Observation> observations_;
        std::vector<ledger::Batch> records_;
        RouterLines lines_;
    };

    TEST_F(BillsInFlightTest, BillThatHadLandedBeforeTheKillShowsNothing)
    {
        answered("last", "lodz-a-1", 10);
        billed("last", 1);
        EXPECT_TRUE(found().empty());
        EXPECT_NE(describe(mark_, found()).find("not met"), std::string::npos);
    }

    TEST_F(BillsInFlightTest, AnswersOfOthersAndOfLaterProcessesDoNotCount)
    {
        answered("elsewhere", "wwa-1-1", 10);
        answered("later", "lodz-a-1", 200);
        EXPECT_TRUE(found().empty());
    }

    TEST_F(BillsInFlightTest, AnswersBeforeAnEarlierKillDoNotCountAgain)
    {
        answered("earlier", "lodz-a-1", 10);
        mark_.before = at(50);
        EXPECT_TRUE(found().empty());
    }

    TEST_F(BillsInFlightTest, BillOfNobodyIsLost)
    {
        billed("earlier", 1);
        answered("last", "lodz-a-1", 10);
        ASSERT_EQ(found().size(), 1U);
        EXPECT_FALSE(found().front().record);
        EXPECT_EQ(found().front().author, transport::toHex(author.value()));
        EXPECT_NE(describe(mark_, found()).find("lost 1"), std::string::npos);
    }

    TEST_F(BillsInFlightTest, BillThatAPeerAppendedNamesThePeer)
    {
        billed("earlier", 1);
        answered("last", "lodz-a-1", 10);
        billed("last", 2);
        lines_["wwa-1-1"] = { { { "kind", "ledger" }, { "change", "appended_for_peer" },
            { "peer", transport::toHex(author.value()) }, { "first", 2 }, { "last", 3 } } };
        lines_["wwa-1-2"] = { { { "kind", "ledger" }, { "change", "appended_for_peer" },
            { "peer", transport::toHex(author.value()) }, { "first", 3 }, { "last", 3 } } };
        ASSERT_EQ(found().size(), 1U);
        EXPECT_EQ(found().front().record, 1U);
        EXPECT_EQ(found().front().appendedBy, std::vector<std::string> { "wwa-1-1" });
        EXPECT_EQ(found().front().told.value("distant_keepers", ""), "b2");
    }

} // namespace

} // namespace swiftlift::scenario
