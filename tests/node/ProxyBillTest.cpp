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

    /** What may happen next to one stream, between its engine, the transport, the core and its caller. */
    enum class Step : char {
        /** The transport passes an event on, to nobody if the caller has left. */
        Event = 'e',
        Completes = 'c',
        Breaks = 'b',
        CallerLeaves = 'l',
        DeadlinePasses = 'd',
        /** The core takes the next report of the transport. */
        CoreHears = 'h',
        /** The transport takes all that the core has ordered. */
        TransportObeys = 'o',
    };

    constexpr Step allSteps[] = { Step::Event, Step::Completes, Step::Breaks, Step::CallerLeaves, Step::DeadlinePasses,
        Step::CoreHears, Step::TransportObeys };

    /**
     * One stream of a real core with a transport that hears late and is heard late: both sides may act on while what
     * they told each other is on its way.
     */
    class OneStream {
    public:
        static constexpr std::int64_t prompt = 100;
        static constexpr std::int64_t perEvent = 7;

        OneStream()
        {
            world_.reportsCuts = false;
            world_.settle();
            call_ = world_.arrive("/resumable/x", prompt, 700, milliseconds(500));
            obey();
        }

        [[nodiscard]] bool possible(Step step) const
        {
            switch (step) {
            case Step::Event:
                return attempt_ && events_ < 2;
            case Step::Completes:
            case Step::Breaks:
                return attempt_.has_value();
            case Step::CallerLeaves:
                return known_;
            case Step::DeadlinePasses:
                return !late_;
            case Step::CoreHears:
                return !reports_.empty();
            case Step::TransportObeys:
                return true;
            }
            return false;
        }

        void take(Step step)
        {
            switch (step) {
            case Step::Event:
                passEvent();
                break;
            case Step::Completes:
                endAttempt(ProxyAttemptEnd::Completed);
                known_ = false;
                break;
            case Step::Breaks:
                endAttempt(ProxyAttemptEnd::Broken);
                break;
            case Step::CallerLeaves:
                reports_.emplace_back(ProxyRequestAbandoned { call_, events_ });
                known_ = false;
                break;
            case Step::DeadlinePasses:
                late_ = true;
                world_.run(milliseconds(600));
                break;
            case Step::CoreHears:
                world_.tell(reports_.front());
                reports_.pop_front();
                break;
            case Step::TransportObeys:
                obey();
                break;
            }
        }

        /** Lets everything arrive that is on its way, and the bill land. */
        void settle()
        {
            for (int round = 0; round < 4; ++round) {
                obey();
                while (!reports_.empty()) {
                    take(Step::CoreHears);
                }
                world_.run(milliseconds(600));
            }
            world_.run(seconds(1));
        }

        [[nodiscard]] Tokens billed() const { return world_.billed(); }
        [[nodiscard]] Tokens given() const { return Tokens { given_ == 0 ? 0 : prompt + given_ * perEvent }; }
        /** @return Whether a planned stop gives back all that was not billed: nothing is reserved any more. */
        [[nodiscard]] bool restComesBack()
        {
            world_.tell(StopRequested {});
            world_.run(seconds(5));
            return world_.stopReady() && world_.budget().held == world_.budget().billed;
        }

    private:
        void passEvent()
        {
            ++events_;
            given_ += known_ ? 1 : 0;
            if (!reported_) {
                reported_ = true;
                reports_.emplace_back(ProxyAttemptProgress { attempt_->attempt, events_ });
            }
        }

        void endAttempt(ProxyAttemptEnd how)
        {
            reports_.emplace_back(ProxyAttemptEnded { attempt_->attempt, how, 200, events_, "explored" });
            attempt_.reset();
        }

        void obey()
        {
            if (attempt_ && world_.cancelled(*attempt_)) {
                attempt_.reset();
            }
            const auto order = world_.orderOf(call_);
            if (order && order->attempt != taken_) {
                taken_ = order->attempt;
                reported_ = false;
                if (known_) {
                    attempt_ = order;
                } else {
                    reports_.emplace_back(
                        ProxyAttemptEnded { order->attempt, ProxyAttemptEnd::Unreachable, 0, 0, "the caller is gone" });
                }
            }
            if (known_ && (world_.replyOf(call_) || world_.failurePassedOn(call_))) {
                known_ = false;
                reports_.emplace_back(ProxyRequestAbandoned { call_, events_ });
            }
        }

        GatewayWorld world_;
        CallId call_;
        std::deque<node::Event> reports_;
        std::optional<ProxyDispatch> attempt_;
        AttemptId taken_;
        bool reported_ = false;
        bool known_ = true;
        bool late_ = false;
        /** Events that the transport counts. */
        std::uint64_t events_ = 0;
        /** Of these, what the caller was given. */
        std::int64_t given_ = 0;
    };

    class Exploration {
    public:
        explicit Exploration(std::size_t depth)
            : depth_(depth)
        {
        }

        /** Plays the schedule to its end, and all that go on from it. */
        void explore(const std::string& schedule)
        {
            OneStream stream;
            for (const char step : schedule) {
                stream.take(static_cast<Step>(step));
            }
            std::string next;
            for (const Step step : allSteps) {
                if (stream.possible(step)) {
                    next += static_cast<char>(step);
                }
            }
            stream.settle();
            ++schedules_;
            EXPECT_EQ(stream.billed(), stream.given()) << "schedule " << schedule;
            EXPECT_TRUE(stream.restComesBack()) << "schedule " << schedule;
            if (schedule.size() == depth_ || ::testing::Test::HasFailure()) {
                return;
            }
            for (const char step : next) {
                // Obeying twice in a row is obeying once.
                const bool again = step == static_cast<char>(Step::TransportObeys) && schedule.ends_with(step);
                if (!again) {
                    explore(schedule + step);
                }
            }
        }

        [[nodiscard]] std::size_t schedules() const noexcept { return schedules_; }

    private:
        std::size_t depth_;
        std::size_t schedules_ = 0;
    };

    // Symptom: an account pays for what its caller was not given, or is given what nobody pays for.
    // Events: every order of a stream's events, its end or break, its caller's leaving, its deadline, and of what the
    // transport and the core hear of each other, up to a number of steps.
    // Cause: a bill made from half of what is known, or a reservation let go before the last event.
    TEST(ProxyBill, IsWhatWasGivenInEverySchedule)
    {
        constexpr std::size_t depth = 6;
        Exploration exploration(depth);
        exploration.explore("");
        EXPECT_GT(exploration.schedules(), 1'000U);
        RecordProperty("schedules", std::to_string(exploration.schedules()));
    }

} // namespace
} // namespace swiftlift::node::testing
