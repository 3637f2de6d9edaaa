#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "node/GatewayWorld.h"

namespace swiftlift::node::testing {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /** A step of one stream, by its engine, its caller, the transport or the core. */
    enum class Step : char {
        /** The transport forwards an event, without effect if the caller has disconnected. */
        Event = 'e',
        Completes = 'c',
        Breaks = 'b',
        CallerDisconnects = 'l',
        DeadlinePasses = 'd',
        /** The core handles the next report of the transport. */
        CoreHandlesReport = 'h',
        /** The transport executes all actions that the core has emitted. */
        TransportExecutes = 'o',
    };

    constexpr Step allSteps[] = { Step::Event, Step::Completes, Step::Breaks, Step::CallerDisconnects,
        Step::DeadlinePasses, Step::CoreHandlesReport, Step::TransportExecutes };

    /**
     * One stream of a real core with a simulated transport. The core's actions and the transport's reports are
     * delivered with delay, so either side may act before it has received the other's latest message.
     */
    class OneStream {
    public:
        static constexpr std::int64_t promptTokens = 100;
        static constexpr std::int64_t tokensPerEvent = 7;

        OneStream()
        {
            world_.reportsEventCounts = false;
            world_.becomeReady();
            call_ = world_.arrive("/resumable/x", promptTokens, 700, milliseconds(500));
            executeActions();
        }

        [[nodiscard]] bool isPossible(Step step) const
        {
            switch (step) {
            case Step::Event:
                return attempt_ && forwardedEvents_ < 2;
            case Step::Completes:
            case Step::Breaks:
                return attempt_.has_value();
            case Step::CallerDisconnects:
                return callerConnected_;
            case Step::DeadlinePasses:
                return !deadlinePassed_;
            case Step::CoreHandlesReport:
                return !reports_.empty();
            case Step::TransportExecutes:
                return true;
            }
            return false;
        }

        void perform(Step step)
        {
            switch (step) {
            case Step::Event:
                forwardEvent();
                break;
            case Step::Completes:
                endAttempt(ProxyAttemptEnd::Completed);
                callerConnected_ = false;
                break;
            case Step::Breaks:
                endAttempt(ProxyAttemptEnd::Broken);
                break;
            case Step::CallerDisconnects:
                reports_.emplace_back(ProxyRequestAbandoned { call_, forwardedEvents_ });
                callerConnected_ = false;
                break;
            case Step::DeadlinePasses:
                deadlinePassed_ = true;
                world_.run(milliseconds(600));
                break;
            case Step::CoreHandlesReport:
                world_.handle(reports_.front());
                reports_.pop_front();
                break;
            case Step::TransportExecutes:
                executeActions();
                break;
            }
        }

        /** Delivers all pending actions and reports, and lets the bill be written to the log. */
        void settle()
        {
            for (int round = 0; round < 4; ++round) {
                executeActions();
                while (!reports_.empty()) {
                    perform(Step::CoreHandlesReport);
                }
                world_.run(milliseconds(600));
            }
            world_.run(seconds(1));
        }

        [[nodiscard]] Tokens billed() const { return world_.billed(); }
        [[nodiscard]] Tokens expectedBill() const
        {
            return Tokens { receivedEvents_ == 0 ? 0 : promptTokens + receivedEvents_ * tokensPerEvent };
        }
        /** @return Whether a planned stop returns all tokens that were not billed, so that none stays reserved. */
        [[nodiscard]] bool returnsUnbilledTokens()
        {
            world_.handle(StopRequested {});
            world_.run(seconds(5));
            return world_.stopReady() && world_.budget().held == world_.budget().billed;
        }

    private:
        void forwardEvent()
        {
            ++forwardedEvents_;
            receivedEvents_ += callerConnected_ ? 1 : 0;
            if (!reported_) {
                reported_ = true;
                reports_.emplace_back(ProxyAttemptProgress { attempt_->attempt, forwardedEvents_ });
            }
        }

        void endAttempt(ProxyAttemptEnd attemptEnd)
        {
            reports_.emplace_back(
                ProxyAttemptEnded { attempt_->attempt, attemptEnd, 200, forwardedEvents_, "ended by the schedule" });
            attempt_.reset();
        }

        void executeActions()
        {
            if (attempt_ && world_.cancelled(*attempt_)) {
                attempt_.reset();
            }
            const auto dispatch = world_.dispatchOf(call_);
            if (dispatch && dispatch->attempt != lastAttempt_) {
                lastAttempt_ = dispatch->attempt;
                reported_ = false;
                if (callerConnected_) {
                    attempt_ = dispatch;
                } else {
                    reports_.emplace_back(ProxyAttemptEnded {
                        dispatch->attempt, ProxyAttemptEnd::Unreachable, 0, 0, "the caller has disconnected" });
                }
            }
            if (callerConnected_ && (world_.replyOf(call_) || world_.failureForwarded(call_))) {
                callerConnected_ = false;
                reports_.emplace_back(ProxyRequestAbandoned { call_, forwardedEvents_ });
            }
        }

        GatewayWorld world_;
        CallId call_;
        std::deque<node::Event> reports_;
        std::optional<ProxyDispatch> attempt_;
        AttemptId lastAttempt_;
        bool reported_ = false;
        bool callerConnected_ = true;
        bool deadlinePassed_ = false;
        /** Events that the transport counts as forwarded. */
        std::uint64_t forwardedEvents_ = 0;
        /** Events that the caller received. */
        std::int64_t receivedEvents_ = 0;
    };

    class Exploration {
    public:
        explicit Exploration(std::size_t depth)
            : depth_(depth)
        {
        }

        /** Checks this schedule and, up to the maximum depth, all schedules that begin with it. */
        void explore(const std::string& schedule)
        {
            OneStream stream;
            for (const char step : schedule) {
                stream.perform(static_cast<Step>(step));
            }
            std::string next;
            for (const Step step : allSteps) {
                if (stream.isPossible(step)) {
                    next += static_cast<char>(step);
                }
            }
            stream.settle();
            ++schedules_;
            EXPECT_EQ(stream.billed(), stream.expectedBill()) << "schedule " << schedule;
            EXPECT_TRUE(stream.returnsUnbilledTokens()) << "schedule " << schedule;
            if (schedule.size() == depth_ || ::testing::Test::HasFailure()) {
                return;
            }
            for (const char step : next) {
                // Executing the actions a second time in a row changes nothing.
                const bool repeated = step == static_cast<char>(Step::TransportExecutes) && schedule.ends_with(step);
                if (!repeated) {
                    explore(schedule + step);
                }
            }
        }

        [[nodiscard]] std::size_t schedules() const noexcept { return schedules_; }

    private:
        std::size_t depth_;
        std::size_t schedules_ = 0;
    };

    // Guards against bills that differ from what the caller received, because the bill was made before the last event
    // was known or the reservation released before it. Explores every order of a stream's events, its completion or
    // break, the caller's disconnection, the deadline, and the delivery of reports and actions, up to a number of
    // steps.
    TEST(ProxyBill, EqualsWhatTheCallerReceivedInEverySchedule)
    {
        constexpr std::size_t depth = 6;
        Exploration exploration(depth);
        exploration.explore("");
        EXPECT_GT(exploration.schedules(), 1'000U);
        RecordProperty("schedules", std::to_string(exploration.schedules()));
    }

} // namespace
} // namespace swiftlift::node::testing
