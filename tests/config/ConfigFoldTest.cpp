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

    const ServiceName desk { "desk" };

    class ConfigFoldTest : public testing::Test {
    protected:
        static std::string publish(
            std::string text, std::optional<Offset> replaces, std::uint64_t id, const std::string& author = "ann")
        {
            return encode(PublishRequest { desk, std::move(text), replaces, author, id });
        }

        /** Appends to the log and lets the fold read it. */
        ConfigEffect append(const std::string& record)
        {
            log_.push_back(record);
            std::vector<ConfigEffect> effects;
            EXPECT_TRUE(fold_.apply(Offset { log_.size() - 1 }, record, effects)) << fold_.lastReason();
            EXPECT_EQ(effects.size(), 1U);
            return effects.at(0);
        }

        std::vector<ConfigEffect> read(ConfigFold& fold, std::uint64_t from)
        {
            std::vector<ConfigEffect> effects;
            for (std::uint64_t i = from; i < log_.size(); ++i) {
                EXPECT_TRUE(fold.apply(Offset { i }, log_[i], effects)) << fold.lastReason();
            }
            return effects;
        }

        static std::int64_t cost(const ConfigFold& fold)
        {
            const ServiceRevision* revision = fold.current(desk);
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
        EXPECT_EQ(cost(fold_), 2);
        EXPECT_EQ(fold_.services(), std::vector { desk });
        ASSERT_EQ(fold_.history(desk).size(), 2U);
        EXPECT_EQ(fold_.history(desk)[0].author, "ann");
    }

    // Symptom: an operator's change is silently undone by another's.
    // Events: two operators read the same revision and publish; both records land.
    // Cause: without naming what it replaces, the later record wins.
    TEST_F(ConfigFoldTest, TheSecondOfTwoRacingOperatorsIsToldByWhomItLost)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(publish(document("desk", 2), Offset { 0 }, 2, "bob"));
        const auto lost = std::get<Rejected>(append(publish(document("desk", 3), Offset { 0 }, 3, "cyd")));
        EXPECT_EQ(lost.reason, RejectReason::Overtaken);
        EXPECT_EQ(lost.author, "cyd");
        EXPECT_EQ(lost.currentAuthor, "bob");
        EXPECT_EQ(lost.currentRevision, Offset { 1 });
        EXPECT_EQ(cost(fold_), 2);
    }

    // Symptom: a service runs by a document that had been replaced.
    // Events: a peer passes on old records late; a read is repeated after a lost answer.
    // Cause: records were applied by arrival, not by offset.
    TEST_F(ConfigFoldTest, NeverReverts)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string early = fold_.snapshot();
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        std::vector<ConfigEffect> effects;
        EXPECT_TRUE(fold_.apply(Offset { 0 }, log_[0], effects));
        EXPECT_TRUE(fold_.applyFromPeer(Offset { 0 }, log_[0], effects));
        EXPECT_TRUE(fold_.applyFromPeer(Offset { 0 }, early, effects)) << "a peer's older state";
        EXPECT_TRUE(effects.empty());
        EXPECT_EQ(cost(fold_), 2);
        EXPECT_EQ(fold_.nextOffset(), Offset { 2 });
    }

    // Symptom: an operator is told that it lost a race, by itself.
    // Events: the answer to an append is lost, the append is made again, both land.
    // Cause: the repeat names the revision that its first landing replaced.
    TEST_F(ConfigFoldTest, ARepeatedAppendIsTheSamePublish)
    {
        const std::string record = publish(document("desk", 1), std::nullopt, 77);
        (void)append(record);
        const auto repeated = std::get<Repeated>(append(record));
        EXPECT_EQ(repeated.revision, Offset { 0 });
        (void)append(publish(document("desk", 2), Offset { 0 }, 78));
        (void)std::get<Repeated>(append(record));
        EXPECT_EQ(cost(fold_), 2);
    }

    // Symptom: a withdrawn service is back.
    // Events: it is published, its append repeated and delayed; it is withdrawn; the repeat lands.
    // Cause: a withdrawal that leaves no trace makes the service look new, which is what the repeat asks for.
    TEST_F(ConfigFoldTest, AWithdrawnServiceDoesNotComeBackByALateRepeat)
    {
        // Id 0: the repeat can't be told by its id.
        const std::string record = publish(document("desk", 1), std::nullopt, 0);
        (void)append(record);
        (void)std::get<Withdrawn>(append(publish("", Offset { 0 }, 0)));
        EXPECT_EQ(fold_.current(desk), nullptr);
        const auto twice = std::get<Rejected>(append(publish("", Offset { 1 }, 0)));
        EXPECT_EQ(twice.reason, RejectReason::Invalid);
        EXPECT_EQ(std::get<Rejected>(append(record)).reason, RejectReason::Overtaken);
        EXPECT_TRUE(fold_.services().empty());
        (void)std::get<Accepted>(append(publish(document("desk", 5), fold_.last(desk)->revision, 9)));
        EXPECT_EQ(cost(fold_), 5);
    }

    TEST_F(ConfigFoldTest, RefusesWhatIsWrongAndSaysAllOfIt)
    {
        const std::string bad = "service: desk\nkind: tidy\nbackends: 3\n";
        const auto invalid = std::get<Rejected>(append(publish(bad, std::nullopt, 1)));
        EXPECT_EQ(invalid.reason, RejectReason::Invalid);
        ASSERT_GE(invalid.findings.size(), 2U);
        EXPECT_GT(invalid.findings[0].line, 0);
        const auto other = std::get<Rejected>(append(publish(document("till"), std::nullopt, 2)));
        EXPECT_EQ(other.reason, RejectReason::WrongService);
        EXPECT_EQ(std::get<Rejected>(append(publish("", std::nullopt, 3))).reason, RejectReason::Invalid);
        EXPECT_EQ(std::get<Rejected>(append("\x07garbage")).reason, RejectReason::Unreadable);
        EXPECT_EQ(fold_.nextOffset(), Offset { 4 }) << "a bad record is passed by all folds alike";
    }

    TEST_F(ConfigFoldTest, RefusesAGapAndLaterRules)
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

    // Symptom: a fresh VM serves nothing, or an old revision, for good.
    // Events: the log's oldest records expire; a VM starts afterwards.
    // Cause: its fold needs offset 0. The records between a snapshot's state and the snapshot itself count too.
    TEST_F(ConfigFoldTest, StartsFromASnapshotWhenOldRecordsHaveExpired)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        const std::string snapshot = fold_.snapshot();
        (void)append(publish(document("desk", 3), Offset { 1 }, 3));
        EXPECT_TRUE(std::get<SnapshotPassed>(append(snapshot)).agrees);
        (void)append(publish(document("desk", 4), Offset { 2 }, 4));

        ConfigFold fresh;
        fresh.startFrom(Offset { 2 });
        EXPECT_TRUE(fresh.seeking());
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(fresh.apply(Offset { 2 }, log_[2], effects));
        EXPECT_TRUE(fresh.services().empty()) << "nothing rather than something old";
        ASSERT_TRUE(fresh.apply(Offset { 3 }, log_[3], effects));
        ASSERT_EQ(std::get<Restored>(effects.back()).from, Offset { 2 });
        EXPECT_FALSE(fresh.apply(Offset { 4 }, log_[4], effects)) << "offset 2 has not been applied";
        (void)read(fresh, 2);
        EXPECT_EQ(cost(fresh), 4);
        EXPECT_EQ(fresh.snapshot(), fold_.snapshot());
    }

    // Symptom: a fresh VM of a quiet fleet is never ready.
    // Events: a snapshot is the last record of the stream, and nothing was published while it was under way.
    // Cause: reading went on from the snapshot's own offset, which the reader had behind it already.
    TEST_F(ConfigFoldTest, ASnapshotAtTheEndOfAQuietStreamIsTheEnd)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        (void)append(fold_.snapshot());
        ConfigFold fresh;
        fresh.startFrom(Offset { 1 });
        const auto effects = read(fresh, 1);
        EXPECT_EQ(std::get<Restored>(effects.back()).from, Offset { 2 });
        EXPECT_EQ(fresh.nextOffset(), Offset { 2 });
        EXPECT_EQ(cost(fresh), 1);
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        (void)read(fresh, 2);
        EXPECT_EQ(cost(fresh), 2);
    }

    TEST_F(ConfigFoldTest, ASnapshotWhoseOwnStartHasExpiredIsOfNoUse)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string old = fold_.snapshot();
        (void)append(publish(document("desk", 2), Offset { 0 }, 2));
        (void)append(old);
        ConfigFold fresh;
        fresh.startFrom(Offset { 2 });
        (void)read(fresh, 2);
        EXPECT_TRUE(fresh.seeking());
        EXPECT_TRUE(fresh.services().empty());
    }

    TEST_F(ConfigFoldTest, ASnapshotOfAnotherStateIsNoticedAndNotTaken)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        ConfigFold astray;
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(astray.apply(Offset { 0 }, publish(document("desk", 9), std::nullopt, 1), effects));
        EXPECT_FALSE(std::get<SnapshotPassed>(append(astray.snapshot())).agrees);
        EXPECT_EQ(cost(fold_), 1);
    }

    TEST_F(ConfigFoldTest, PeersPassRecordsOnOrTheirWholeState)
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
        ConfigFold fresh;
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(fresh.applyFromPeer(state.first, state.records[0], effects)) << fresh.lastReason();
        EXPECT_EQ(cost(fresh), 30);
        EXPECT_EQ(fresh.nextOffset(), Offset { 30 });
    }

    // Symptom: one VM never learns a revision that all others follow.
    // Events: a peer sends its state as of offset 1; meanwhile the asker has read offset 0 itself; the message comes
    // late. Cause: the state was taken for the record at that offset, and the record itself was skipped.
    TEST_F(ConfigFoldTest, APeersStateNeverStandsInForARecord)
    {
        (void)append(publish(document("desk", 1), std::nullopt, 1));
        const std::string state = fold_.snapshot();
        std::vector<ConfigEffect> effects;
        ASSERT_TRUE(fold_.applyFromPeer(Offset { 0 }, state, effects));
        EXPECT_EQ(fold_.nextOffset(), Offset { 1 });
        // In the log, a state later than its own place is refused as a record.
        ConfigFold ahead;
        (void)read(ahead, 0);
        ASSERT_TRUE(ahead.apply(Offset { 1 }, publish(document("desk", 2), Offset { 0 }, 2), effects));
        EXPECT_EQ(std::get<Rejected>(append(ahead.snapshot())).reason, RejectReason::Unreadable);
        EXPECT_EQ(cost(fold_), 1);
    }

    TEST(SnapshotScheduleTest, MostlyOneRouterAppends)
    {
        std::vector<SnapshotSchedule> routers;
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            routers.emplace_back(1h, seed);
        }
        int appended = 0;
        for (Instant now { 1s }; now < Instant { 24h }; now += 10s) {
            bool any = false;
            for (SnapshotSchedule& router : routers) {
                any = router.due(now) || any;
            }
            if (any) {
                ++appended;
                for (SnapshotSchedule& router : routers) {
                    router.onSnapshot(now);
                }
            }
        }
        EXPECT_GE(appended, 16) << "each within an hour and a half";
        EXPECT_LE(appended, 24);
    }

} // namespace
} // namespace swiftlift::config
