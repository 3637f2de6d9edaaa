#include "swiftlift/config/ConfigFold.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "config.pb.h"
#include "config/Sample.h"
#include "swiftlift/config/SnapshotSchedule.h"

namespace swiftlift::config {
namespace {

    using namespace std::chrono_literals;
    using test::document;

    const ServiceName deskService { "desk" };

    class ConfigFoldTest : public testing::Test {
    protected:
        static std::string publish(
            std::string text, std::optional<Offset> replaces, std::uint64_t id, const std::string& author = "ann")
        {
            return encode(PublishRequest { deskService, std::move(text), replaces, author, id });
        }

        /** Appends the record to the log, applies the record to the fold and returns its only effect. */
        ConfigEffect append(const std::string& record)
        {
            log_.push_back(record);
            std::vector<ConfigEffect> effects;
            EXPECT_TRUE(fold_.apply(Offset { log_.size() - 1 }, record, effects)) << fold_.lastReason();
            EXPECT_EQ(effects.size(), 1U);
            return effects.at(0);
        }

        std::vector<ConfigEffect> applyLog(ConfigFold& fold, std::uint64_t from)
        {
            std::vector<ConfigEffect> effects;
            for (std::uint64_t i = from; i < log_.size(); ++i) {
                EXPECT_TRUE(fold.apply(Offset { i }, log_[i], effects)) << fold.lastReason();
            }
            return effects;
        }

        static std::int64_t callCostOf(const ConfigFold& fold)
        {
            const ServiceRevision* revision = fold.current(deskService);
            return revision == nullptr ? -1 : revision->document->limits.callCost.value();
        }

        ConfigFold fold_;
        std::vector<std::string> log_;
    };

    TEST_F(ConfigFoldTest, AcceptsAndReplaces)
    {
        const auto first = std::get<Accepted>(append(publish(document("desk", 1), std::nullopt, 1)));
        EXPECT_EQ(first.revision, Offset { 0 });
        const auto second = std::get<Accepted>(append(publish(document("desk", 2), first.revision, 2, "bob")));
        EXPECT_EQ(second.author, "bob");
        EXPECT_EQ(callCostOf(fold_), 2);
        EXPECT_EQ(fold_.services(), std::vector { deskService });
        ASSERT_EQ(fold_.history(deskService).size(), 2U);
        EXPECT_EQ(fold_.history(deskService)[0].author, "ann");
    }

    // Guards against one operator's change silently undoing another's: two operators read the same revision, both
    // publish, and both records are appended. If a record didn't name the revision that it replaces, the later record
    // would win.
    TEST_F(ConfigFoldTest, RejectionOfACompetingPublishNamesTheAuthorInForce)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(publish(document("desk", 2), Offset { 0 }, 2, "bob"));
        const auto rejectedPublish = std::get<Rejected>(append(publish(document("desk", 3), Offset { 0 }, 3, "cyd")));
        EXPECT_EQ(rejectedPublish.reason, RejectReason::Overtaken);
        EXPECT_EQ(rejectedPublish.author, "cyd");
        EXPECT_EQ(rejectedPublish.currentAuthor, "bob");
        EXPECT_EQ(rejectedPublish.currentRevision, Offset { 1 });
        EXPECT_EQ(callCostOf(fold_), 2);
    }

    // Guards against putting a replaced document in force again: a peer sends old records late, or a read is retried
    // after a lost answer. Records applied in order of arrival instead of offset would revert the service.
    TEST_F(ConfigFoldTest, NeverReverts)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string outdatedState = fold_.snapshot();
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        std::vector<ConfigEffect> effects;
        EXPECT_TRUE(fold_.apply(Offset { 0 }, log_[0], effects));
        EXPECT_TRUE(fold_.applyFromPeer(Offset { 0 }, log_[0], effects));
        EXPECT_TRUE(fold_.applyFromPeer(Offset { 0 }, outdatedState, effects)) << "an outdated state from a peer";
        EXPECT_TRUE(effects.empty());
        EXPECT_EQ(callCostOf(fold_), 2);
        EXPECT_EQ(fold_.nextOffset(), Offset { 2 });
    }

    // Guards against rejecting a publish as a competitor of its own duplicate: the answer to an append is lost, the
    // append is retried, and both records are in the log. The duplicate names a revision that the first record has
    // already replaced.
    TEST_F(ConfigFoldTest, ARetriedAppendIsRecognizedAsADuplicate)
    {
        const std::string record = publish(document("desk", 1), std::nullopt, 77);
        (void)append(record);
        const auto duplicate = std::get<Repeated>(append(record));
        EXPECT_EQ(duplicate.revision, Offset { 0 });
        (void)append(publish(document("desk", 2), Offset { 0 }, 78));
        (void)std::get<Repeated>(append(record));
        EXPECT_EQ(callCostOf(fold_), 2);
    }

    // Guards against a withdrawn service returning: a service is published, the append is retried, and the retry is
    // delayed until after the withdrawal. If the withdrawal left no revision, the service would look new, and the
    // duplicate of a first publish would be accepted.
    TEST_F(ConfigFoldTest, ALateDuplicateDoesNotRestoreAWithdrawnService)
    {
        // With id 0 the duplicate can't be recognized by its id.
        const std::string record = publish(document("desk", 1), std::nullopt, 0);
        (void)append(record);
        (void)std::get<Withdrawn>(append(publish("", Offset { 0 }, 0)));
        EXPECT_EQ(fold_.current(deskService), nullptr);
        const auto secondWithdrawal = std::get<Rejected>(append(publish("", Offset { 1 }, 0)));
        EXPECT_EQ(secondWithdrawal.reason, RejectReason::Invalid);
        EXPECT_EQ(std::get<Rejected>(append(record)).reason, RejectReason::Overtaken);
        EXPECT_TRUE(fold_.services().empty());
        (void)std::get<Accepted>(append(publish(document("desk", 5), fold_.last(deskService)->revision, 9)));
        EXPECT_EQ(callCostOf(fold_), 5);
    }

    TEST_F(ConfigFoldTest, RejectsInvalidRecordsWithAllFindings)
    {
        const std::string invalidDocument = "service: desk\nkind: tidy\nbackends: 3\n";
        const auto invalid = std::get<Rejected>(append(publish(invalidDocument, std::nullopt, 1)));
        EXPECT_EQ(invalid.reason, RejectReason::Invalid);
        ASSERT_GE(invalid.findings.size(), 2U);
        EXPECT_GT(invalid.findings[0].line, 0);
        const auto wrongService = std::get<Rejected>(append(publish(document("till"), std::nullopt, 2)));
        EXPECT_EQ(wrongService.reason, RejectReason::WrongService);
        EXPECT_EQ(std::get<Rejected>(append(publish("", std::nullopt, 3))).reason, RejectReason::Invalid);
        EXPECT_EQ(std::get<Rejected>(append("\x07garbage")).reason, RejectReason::Unreadable);
        EXPECT_EQ(fold_.nextOffset(), Offset { 4 }) << "every fold advances past a rejected record";
    }

    TEST_F(ConfigFoldTest, RefusesAGapAndALaterRulesVersion)
    {
        std::vector<ConfigEffect> effects;
        EXPECT_FALSE(fold_.apply(Offset { 1 }, publish(document("desk"), std::nullopt, 1), effects));
        EXPECT_NE(fold_.lastReason().find("gap"), std::string::npos);
        proto::config::Record record;
        record.set_rules_version(rulesVersion + 1);
        record.mutable_publish()->set_service("desk");
        EXPECT_FALSE(fold_.apply(Offset { 0 }, record.SerializeAsString(), effects));
        EXPECT_TRUE(effects.empty());
        EXPECT_EQ(fold_.nextOffset(), Offset { 0 });
    }

    // Guards against a new VM that permanently serves nothing or an outdated revision: the VM starts after the log's
    // oldest records have expired, so its fold can't begin at offset 0. The records between a snapshot's `as_of` and
    // the snapshot itself must be applied too.
    TEST_F(ConfigFoldTest, StartsFromASnapshotWhenOldRecordsHaveExpired)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        const std::string snapshot = fold_.snapshot();
        (void)append(publish(document("desk", 3), Offset { 1 }, 3));
        EXPECT_TRUE(std::get<SnapshotPassed>(append(snapshot)).agrees);
        (void)append(publish(document("desk", 4), Offset { 2 }, 4));

        ConfigFold freshFold;
        freshFold.startFrom(Offset { 2 });
        EXPECT_TRUE(freshFold.seeking());
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(freshFold.apply(Offset { 2 }, log_[2], effects));
        EXPECT_TRUE(freshFold.services().empty()) << "no services rather than outdated ones";
        ASSERT_TRUE(freshFold.apply(Offset { 3 }, log_[3], effects));
        ASSERT_EQ(std::get<Restored>(effects.back()).from, Offset { 2 });
        EXPECT_FALSE(freshFold.apply(Offset { 4 }, log_[4], effects)) << "offset 2 has not been applied";
        (void)applyLog(freshFold, 2);
        EXPECT_EQ(callCostOf(freshFold), 4);
        EXPECT_EQ(freshFold.snapshot(), fold_.snapshot());
    }

    // Guards against a new VM that never becomes ready: a snapshot is the last record of the stream, and no record lies
    // between the snapshot's `as_of` and the snapshot. Reading must continue after the snapshot; the reader has already
    // passed the snapshot's own offset.
    TEST_F(ConfigFoldTest, ReadingContinuesAfterASnapshotAtTheEndOfTheStream)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(fold_.snapshot());
        ConfigFold freshFold;
        freshFold.startFrom(Offset { 1 });
        const auto effects = applyLog(freshFold, 1);
        EXPECT_EQ(std::get<Restored>(effects.back()).from, Offset { 2 });
        EXPECT_EQ(freshFold.nextOffset(), Offset { 2 });
        EXPECT_EQ(callCostOf(freshFold), 1);
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        (void)applyLog(freshFold, 2);
        EXPECT_EQ(callCostOf(freshFold), 2);
    }

    TEST_F(ConfigFoldTest, ASnapshotWhoseNextRecordHasExpiredIsNotRestored)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string outdatedSnapshot = fold_.snapshot();
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        (void)append(outdatedSnapshot);
        ConfigFold freshFold;
        freshFold.startFrom(Offset { 2 });
        (void)applyLog(freshFold, 2);
        EXPECT_TRUE(freshFold.seeking());
        EXPECT_TRUE(freshFold.services().empty());
    }

    TEST_F(ConfigFoldTest, ASnapshotOfADifferentStateIsReportedAndNotApplied)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        ConfigFold diverged;
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(diverged.apply(Offset { 0 }, publish(document("desk", 9), std::nullopt, 1), effects));
        EXPECT_FALSE(std::get<SnapshotPassed>(append(diverged.snapshot())).agrees);
        EXPECT_EQ(callCostOf(fold_), 1);
    }

    TEST_F(ConfigFoldTest, RecordsForPeersAreRetainedRecordsOrASnapshot)
    {
        std::optional<Offset> replaces;
        const std::string padding(60'000, '#');
        for (int i = 0; i < 30; ++i) {
            (void)append(publish(document("desk", i + 1) + padding, replaces, static_cast<std::uint64_t>(i) + 1));
            replaces = Offset { static_cast<std::uint64_t>(i) };
        }
        const RetainedRecords tail = fold_.recordsFrom(Offset { 28 }, 1'000'000);
        EXPECT_EQ(tail.first, Offset { 28 });
        EXPECT_EQ(tail.records.size(), 2U);
        EXPECT_EQ(fold_.recordsFrom(Offset { 28 }, 1).records.size(), 1U);
        EXPECT_TRUE(fold_.recordsFrom(Offset { 30 }, 1'000).records.empty());

        const RetainedRecords state = fold_.recordsFrom(Offset { 0 }, 1'000);
        ASSERT_EQ(state.records.size(), 1U);
        ConfigFold freshFold;
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(freshFold.applyFromPeer(state.first, state.records[0], effects)) << freshFold.lastReason();
        EXPECT_EQ(callCostOf(freshFold), 30);
        EXPECT_EQ(freshFold.nextOffset(), Offset { 30 });
    }

    // Guards against a VM missing a revision permanently: a peer sends its state as of offset 1, and the message
    // arrives after the requesting VM has read offset 0 from the log. If the state counted as the record at its offset,
    // the record itself would be skipped.
    TEST_F(ConfigFoldTest, APeersStateDoesNotReplaceARecord)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string state = fold_.snapshot();
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(fold_.applyFromPeer(Offset { 0 }, state, effects));
        EXPECT_EQ(fold_.nextOffset(), Offset { 1 });
        // A record in the log with a snapshot of a state later than its own offset is rejected.
        ConfigFold aheadFold;
        (void)applyLog(aheadFold, 0);
        ASSERT_TRUE(aheadFold.apply(Offset { 1 }, publish(document("desk", 2), Offset { 0 }, 2), effects));
        EXPECT_EQ(std::get<Rejected>(append(aheadFold.snapshot())).reason, RejectReason::Unreadable);
        EXPECT_EQ(callCostOf(fold_), 1);
    }

    TEST(SnapshotScheduleTest, MostlyOneRouterAppendsInAnInterval)
    {
        std::vector<SnapshotSchedule> routers;
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            routers.emplace_back(1h, seed);
        }
        int appended = 0;
        for (Instant now { 1s }; now < Instant { 24h }; now += 10s) {
            bool anyDue = false;
            for (SnapshotSchedule& router : routers) {
                anyDue = router.due(now) || anyDue;
            }
            if (anyDue) {
                ++appended;
                for (SnapshotSchedule& router : routers) {
                    router.onSnapshot(now);
                }
            }
        }
        EXPECT_GE(appended, 16) << "each wait is at most an hour and a half";
        EXPECT_LE(appended, 24);
    }

} // namespace
} // namespace swiftlift::config
