#include "node/VersionRecords.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace swiftlift::node::testing {
namespace {

    using namespace std::chrono_literals;

    const ServiceName model { "model" };
    const SoftwareVersion v1 { "v1" };
    const SoftwareVersion v2 { "v2" };
    const StreamId stream { "r1" };

    /** The records of one router, and a log that executes its writes when the test says so. */
    class VersionRecordsTest : public ::testing::Test {
    protected:
        VersionRecordsTest()
            : context_(settings())
            , records_(context_)
        {
            context_.begin(now_, actions_);
        }

        [[nodiscard]] static CoreSettings settings()
        {
            CoreSettings settings;
            settings.incarnation = Incarnation { 77 };
            settings.peerAddress = PeerAddress { "127.0.0.1:7400" };
            return settings;
        }

        void read(const std::map<std::string, streams::VersionRecord>& written = {})
        {
            KeyedRecords list { VersionRecords::stream(), {}, true };
            for (const auto& [key, record] : written) {
                list.records.push_back({ {}, key, streams::encode(record) });
            }
            read_ = records_.onRecords(list);
        }

        void run(Duration time)
        {
            now_ += time;
            context_.begin(now_, actions_);
            records_.tick(50ms);
        }

        /** @return The append that the router has emitted since the last call. */
        [[nodiscard]] std::optional<Append> append()
        {
            std::optional<Append> found;
            for (const Action& action : actions_) {
                if (const auto* append = std::get_if<Append>(&action)) {
                    EXPECT_FALSE(found) << "one append is in flight at most";
                    found = *append;
                }
            }
            actions_.clear();
            return found;
        }

        [[nodiscard]] streams::VersionRecord written()
        {
            const auto write = append();
            return write ? streams::decodeVersionRecord(write->record).value_or(streams::VersionRecord {})
                         : streams::VersionRecord {};
        }

        Instant now_ { 100s };
        Actions actions_;
        Context context_;
        VersionRecords records_;
        std::vector<streams::VersionRecord> read_;
    };

    // Guards against a record that replaces what the VM's former process wrote before that was read.
    TEST_F(VersionRecordsTest, NothingIsWrittenBeforeTheRecordsWereRead)
    {
        records_.setVersions({ { model, { v1 } } });
        run(1s);
        EXPECT_FALSE(append());
        read();
        run(1s);
        EXPECT_EQ(written().versions.at(model), (std::set<SoftwareVersion> { v1 }));
    }

    // Guards against streams that begin at a version which no router that starts would know of.
    TEST_F(VersionRecordsTest, VersionIsPublishedOnceItsWriteWasExecuted)
    {
        read();
        records_.setVersions({ { model, { v1 } } });
        ASSERT_TRUE(append());
        EXPECT_FALSE(records_.isPublished(model, v1));
        records_.onAppended();
        EXPECT_TRUE(records_.isPublished(model, v1));
    }

    // Guards against a version that counts as published while the write that drops it is in flight, or may have been
    // executed.
    TEST_F(VersionRecordsTest, VersionIsNotPublishedWhileItIsBeingWithdrawn)
    {
        read();
        records_.setVersions({ { model, { v1, v2 } } });
        records_.onAppended();
        records_.setVersions({ { model, { v2 } } });
        EXPECT_FALSE(records_.isPublished(model, v1));
        EXPECT_TRUE(records_.isPublished(model, v2));
        records_.onLogFailure();
        EXPECT_FALSE(records_.isPublished(model, v1));
        EXPECT_TRUE(records_.isPublished(model, v2));
    }

    // Guards against a write that the log executes late and that replaces a newer one, which names a further version.
    TEST_F(VersionRecordsTest, WriteAfterAFailedOneHasAnotherKey)
    {
        read();
        records_.setVersions({ { model, { v1 } } });
        const auto failed = append();
        records_.onLogFailure();
        records_.setVersions({ { model, { v1, v2 } } });
        EXPECT_FALSE(append()) << "not at once, as the log may be out of reach";
        run(1s);
        const auto next = append();
        ASSERT_TRUE(failed && next);
        EXPECT_NE(next->key, failed->key);
        records_.onAppended();
        run(1s);
        const auto removal = append();
        ASSERT_TRUE(removal);
        EXPECT_EQ(removal->key, failed->key);
        EXPECT_TRUE(removal->record.empty());
    }

    TEST_F(VersionRecordsTest, StreamsAreWrittenTogetherWhileTheyAreRecorded)
    {
        read();
        records_.add(StreamId("before"), v1);
        records_.setRecording(true);
        records_.add(stream, v1);
        records_.add(StreamId("r2"), v2);
        run(100ms);
        EXPECT_EQ(written().streams, (std::map<StreamId, SoftwareVersion> { { stream, v1 }, { StreamId("r2"), v2 } }));
        records_.onAppended();
        run(100ms);
        EXPECT_FALSE(append()) << "nothing has changed";
    }

    // Guards against records that grow with all streams of a minute instead of those that can still be taken up.
    TEST_F(VersionRecordsTest, CompleteStreamsAreDroppedAfterSeconds)
    {
        read();
        records_.setRecording(true);
        records_.add(stream, v1);
        records_.onComplete(stream);
        run(4s);
        EXPECT_TRUE(written().streams.contains(stream)) << "the caller may not have received its end";
        records_.onAppended();
        run(2s);
        records_.add(StreamId("r2"), v2);
        run(100ms);
        EXPECT_FALSE(written().streams.contains(stream));
    }

    // Guards against records of ended processes that are kept for good, and make each later start see old versions.
    TEST_F(VersionRecordsTest, RecordsOfTheVmsFormerProcessesAreRemovedOnceTheirStreamsAreOld)
    {
        const streams::VersionRecord former { { { model, { v1 } } }, { { stream, v1 } } };
        read({ { "127.0.0.1:7400/9/0", former }, { "127.0.0.1:7401/8/0", former } });
        EXPECT_EQ(read_.size(), 2U);
        EXPECT_TRUE(records_.isPublished(model, v1));
        run(59s);
        EXPECT_FALSE(append());
        run(2s);
        const auto removal = append();
        ASSERT_TRUE(removal);
        EXPECT_EQ(removal->key, "127.0.0.1:7400/9/0");
        EXPECT_TRUE(removal->record.empty());
        records_.onAppended();
        run(1s);
        EXPECT_FALSE(append()) << "the other VM's record is not this router's";
    }

} // namespace
} // namespace swiftlift::node::testing
