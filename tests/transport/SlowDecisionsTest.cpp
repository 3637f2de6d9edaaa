#include <atomic>

#include "swiftlift/ring/Outbox.h"
#include "swiftlift/transport/DecisionLoop.h"
#include "transport/StreamFixture.h"

namespace swiftlift::transport::test {
namespace {

    using namespace std::chrono_literals;

    class PlainDialect final : public ProxyDialect {
    public:
        [[nodiscard]] std::variant<node::ProxyRequestInfo, node::Reply> facts(const RequestHead&) const override
        {
            return node::ProxyRequestInfo {};
        }
        [[nodiscard]] HeaderFields towardsBackend(
            const HeaderFields& fields, const node::ProxyDispatch&, std::optional<std::uint64_t>) const override
        {
            return fields;
        }
        [[nodiscard]] AnswerMarks marks(const AnswerHead&) const override { return {}; }
        [[nodiscard]] HeaderFields ofRefusal(const node::Reply& refusal, const std::string&) const override
        {
            const auto wait = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter.value_or(Duration {}));
            return { { "Reason", refusal.reason }, { "Retry-After", std::to_string(wait.count()) } };
        }
    };

    /** Answers each request with 200, after the time that a decision takes. */
    class SlowDecider final : public Decider {
    public:
        explicit SlowDecider(const std::atomic<std::chrono::milliseconds>& timePerRequest)
            : timePerRequest_(timePerRequest)
        {
        }

        void start(Instant, node::Actions& actions) override
        {
            actions.push_back(node::AnnounceReadiness { true, false });
        }

        void handle(const node::Event& event, Instant, node::Actions& actions) override
        {
            if (const auto* arrived = std::get_if<node::ProxyRequestArrived>(&event)) {
                std::this_thread::sleep_for(timePerRequest_.load());
                node::Reply reply;
                reply.call = arrived->call;
                actions.push_back(reply);
            }
        }

    private:
        const std::atomic<std::chrono::milliseconds>& timePerRequest_;
    };

    class StreamSink final : public ActionSink {
    public:
        explicit StreamSink(StreamServer& server)
            : commands_(server.inbox())
        {
        }

        void execute(node::Action&& action) override
        {
            if (auto* reply = std::get_if<node::Reply>(&action)) {
                commands_.push(std::move(*reply));
            } else if (const auto* readiness = std::get_if<node::AnnounceReadiness>(&action)) {
                commands_.push(*readiness);
            }
        }
        void flush() override { commands_.flush(); }
        void beginIncarnation(Incarnation incarnation) override { commands_.push(BeginIncarnation { incarnation }); }

    private:
        ring::Outbox<StreamCommand> commands_;
    };

    /** A router with a real decision thread, whose time per request the test sets. */
    class SlowDecisionsTest : public StreamFixture {
    protected:
        void SetUp() override
        {
            StreamLimits limits;
            limits.readyEventDelay = 100ms;
            limits.maxEventDelay = 250ms;
            server = std::make_unique<StreamServer>(
                limits, decisions, observer, log, std::make_shared<const PlainDialect>());
            ASSERT_TRUE(server->listen({ "127.0.0.1", 0 }));
            ASSERT_TRUE(server->listenReadiness({ "127.0.0.1", readinessPort_ }));
            server->start();
            sink_ = std::make_unique<StreamSink>(*server);
            loop_ = std::make_unique<DecisionLoop>(
                Incarnation(5), [this](Incarnation) { return std::make_unique<SlowDecider>(timePerRequest_); },
                decisions, *sink_);
            loop_->start();
            EXPECT_TRUE(becomes(true, longWait));
        }

        void TearDown() override
        {
            loop_->stop();
            server->stop(0ms);
        }

        [[nodiscard]] Connection sendRequest() const
        {
            Connection connection = caller();
            connection.write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
            return connection;
        }

        [[nodiscard]] bool ready() const
        {
            Connection probe = connectTo(readinessPort_);
            probe.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            return probe.readResponse().result_int() == 200;
        }

        /** @return Whether the router's readiness is as wanted within the time. */
        [[nodiscard]] bool becomes(bool wanted, std::chrono::milliseconds limit) const
        {
            const auto until = std::chrono::steady_clock::now() + limit;
            while (std::chrono::steady_clock::now() < until) {
                if (ready() == wanted) {
                    return true;
                }
                std::this_thread::sleep_for(10ms);
            }
            return false;
        }

        std::atomic<std::chrono::milliseconds> timePerRequest_ { 0ms };
        std::uint16_t readinessPort_ = Listener().port();
        std::unique_ptr<StreamSink> sink_;
        std::unique_ptr<DecisionLoop> loop_;
    };

    // Guards against a VM that gets new callers while its decision thread is seconds behind: its timers are on time and
    // few events wait, so that nothing but the age of the events shows the lag.
    TEST_F(SlowDecisionsTest, LagIsSeenByReadinessAndRefusals)
    {
        timePerRequest_ = 3s;
        Connection slow = sendRequest();
        EXPECT_TRUE(becomes(false, 600ms));
        std::this_thread::sleep_for(400ms);
        const auto refused = sendRequest().readResponse();
        EXPECT_EQ(refused.result_int(), 503U);
        EXPECT_EQ(refused["Reason"], "overloaded");
        EXPECT_GE(std::stoi(std::string(refused["Retry-After"])), 1);
        EXPECT_EQ(slow.readResponse().result_int(), 200U) << "an accepted request continues";
        timePerRequest_ = 0ms;
        EXPECT_TRUE(becomes(true, 10s));
        EXPECT_EQ(sendRequest().readResponse().result_int(), 200U);
    }

} // namespace
} // namespace swiftlift::transport::test
