#include <mutex>

#include <gtest/gtest.h>

#include "swiftlift/transport/DecisionLoop.h"
#include "transport/Network.h"

namespace swiftlift::transport::test {

namespace {

    /** Answers each operator query with its incarnation; requests its replacement on the topic "retire". */
    class EchoDecider : public Decider {
    public:
        explicit EchoDecider(Incarnation self)
            : self_(self)
        {
        }

        void start(Instant now, node::Actions&) override { lastTime_ = now; }

        void handle(const node::Event& event, Instant now, node::Actions& actions) override
        {
            EXPECT_GE(now, lastTime_);
            lastTime_ = now;
            if (std::holds_alternative<node::Tick>(event)) {
                actions.push_back(node::CountMetric { "ticks", {}, 1 });
            } else if (const auto* stop = std::get_if<node::StopRequested>(&event)) {
                stopRequestedAt_ = stop->at;
            } else if (const auto* asked = std::get_if<node::OperatorAsked>(&event)) {
                actions.push_back(node::OperatorReply { asked->question, reply(asked->topic) });
                if (asked->topic == "retire") {
                    actions.push_back(node::Restart { "asked" });
                }
            }
        }

    private:
        [[nodiscard]] std::string reply(const std::string& topic) const
        {
            return topic != "stop" ? std::to_string(self_.value())
                : stopRequestedAt_ ? std::to_string(stopRequestedAt_->time_since_epoch().count())
                                   : "no stop";
        }

        Incarnation self_;
        Instant lastTime_ {};
        std::optional<Instant> stopRequestedAt_;
    };

    class RecordingSink : public ActionSink {
    public:
        void execute(node::Action&& action) override
        {
            const std::lock_guard lock(mutex_);
            if (const auto* reply = std::get_if<node::OperatorReply>(&action)) {
                replies_[reply->question] = reply->json;
            } else {
                ++otherActions_;
            }
        }

        void flush() override { }

        void beginIncarnation(Incarnation incarnation) override
        {
            const std::lock_guard lock(mutex_);
            incarnations_.push_back(incarnation);
        }

        std::string waitForReply(std::uint64_t question)
        {
            const auto until = std::chrono::steady_clock::now() + longWait;
            while (std::chrono::steady_clock::now() < until) {
                {
                    const std::lock_guard lock(mutex_);
                    if (const auto found = replies_.find(question); found != replies_.end()) {
                        return found->second;
                    }
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            return "no reply";
        }

        bool hasReply(std::uint64_t question)
        {
            const std::lock_guard lock(mutex_);
            return replies_.contains(question);
        }

        std::vector<Incarnation> incarnations()
        {
            const std::lock_guard lock(mutex_);
            return incarnations_;
        }

        int otherActions()
        {
            const std::lock_guard lock(mutex_);
            return otherActions_;
        }

    private:
        std::mutex mutex_;
        std::map<std::uint64_t, std::string> replies_;
        std::vector<Incarnation> incarnations_;
        int otherActions_ = 0;
    };

    class DecisionLoopTest : public testing::Test {
    protected:
        DecisionLoopTest() { loop.start(); }

        void sendQuery(std::uint64_t question, const std::string& topic, Incarnation tag = {})
        {
            ASSERT_TRUE(inbox.tryPush({ tag, node::OperatorAsked { question, topic, {} } }));
        }

        DecisionInbox inbox { 64 };
        RecordingSink sink;
        DecisionLoop loop { Incarnation(5),
            [](Incarnation incarnation) { return std::make_unique<EchoDecider>(incarnation); }, inbox, sink };
    };

} // namespace

TEST_F(DecisionLoopTest, HandlesEventsAndTicks)
{
    sendQuery(1, "status");
    EXPECT_EQ(sink.waitForReply(1), "5");
    const auto until = std::chrono::steady_clock::now() + longWait;
    while (sink.otherActions() < 3 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_GE(sink.otherActions(), 3);
}

// Guards against an event of a retired incarnation's attempt that ends the new incarnation's attempt with the same
// number. The ledger retires the incarnation and the core requests its replacement, while events for the retired
// incarnation are still in the ring.
TEST_F(DecisionLoopTest, ReplacementOfARetiredDeciderGetsNoEventsOfTheRetiredIncarnation)
{
    sendQuery(1, "retire");
    EXPECT_EQ(sink.waitForReply(1), "5");
    sendQuery(2, "status", Incarnation(5));
    sendQuery(3, "status");
    const std::string second = sink.waitForReply(3);
    const auto incarnations = sink.incarnations();
    ASSERT_EQ(incarnations.size(), 2U);
    EXPECT_NE(incarnations[1], Incarnation(5));
    EXPECT_EQ(second, std::to_string(incarnations[1].value()));
    loop.stop();
    EXPECT_EQ(loop.replacements(), 1U);
    // Query 2 was in the ring before query 3, so it has been discarded by now.
    EXPECT_FALSE(sink.hasReply(2));
}

// Guards against a process that goes on serving after it was told to stop, and then cuts its requests: the stop came
// while its incarnation ended, and the one that followed did not know of it.
TEST_F(DecisionLoopTest, ReplacementIsToldOfAnEarlierStop)
{
    const Instant at = steadyInstant();
    ASSERT_TRUE(inbox.tryPush({ {}, node::StopRequested { at } }));
    sendQuery(1, "retire");
    sendQuery(2, "stop");
    EXPECT_EQ(sink.waitForReply(2), std::to_string(at.time_since_epoch().count()));
    ASSERT_EQ(sink.incarnations().size(), 2U);
}

// Guards against a stop that only the next incarnation hears of: that one ends, too.
TEST_F(DecisionLoopTest, EveryLaterReplacementIsToldOfTheFirstStop)
{
    const Instant first = steadyInstant();
    ASSERT_TRUE(inbox.tryPush({ {}, node::StopRequested { first } }));
    ASSERT_TRUE(inbox.tryPush({ {}, node::StopRequested { first + std::chrono::seconds(2) } }));
    for (std::uint64_t question = 1; question <= 3; ++question) {
        sendQuery(question, "retire");
        static_cast<void>(sink.waitForReply(question));
    }
    sendQuery(4, "stop");
    EXPECT_EQ(sink.waitForReply(4), std::to_string(first.time_since_epoch().count()));
    EXPECT_EQ(sink.incarnations().size(), 4U);
}

// Guards against a stop that is lost between two incarnations: it is in the ring when the first one ends.
TEST_F(DecisionLoopTest, StopThatWaitsWhileAnIncarnationEndsReachesTheNextOne)
{
    const Instant at = steadyInstant();
    sendQuery(1, "retire");
    ASSERT_TRUE(inbox.tryPush({ {}, node::StopRequested { at } }));
    sendQuery(2, "stop");
    EXPECT_EQ(sink.waitForReply(2), std::to_string(at.time_since_epoch().count()));
    EXPECT_EQ(sink.incarnations().size(), 2U);
}

} // namespace swiftlift::transport::test
