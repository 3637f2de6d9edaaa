#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace swiftlift::transport::internal {

/**
 * @brief A time limit that is moved often and passes seldom, such as the silence between two tokens.
 *
 * Moving it later costs no timer operation: the timer runs out at the earlier moment and then looks again.
 */
class Deadline {
public:
    using Clock = std::chrono::steady_clock;

    /** @param passed Called in the loop's thread when the limit passes; never after this object's end. */
    Deadline(boost::asio::io_context& loop, std::function<void()> passed);
    ~Deadline();
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    void arm(Clock::duration limit);
    void disarm();

private:
    struct State {
        State(boost::asio::io_context& loop, std::function<void()> called);

        boost::asio::steady_timer timer;
        std::function<void()> passed;
        std::optional<Clock::time_point> at;
        std::optional<Clock::time_point> waitingFor;
    };

    static void wait(const std::shared_ptr<State>& state, Clock::time_point until);
    static void timerRanOut(const std::shared_ptr<State>& state);

    std::shared_ptr<State> state_;
};

} // namespace swiftlift::transport::internal
