#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace swiftlift::transport::internal {

/**
 * @brief A timeout that is often extended and seldom expires, such as the maximum silence between two tokens.
 *
 * Extending it needs no timer operation: the timer expires at the earlier time and is then set to the new one.
 */
class Deadline {
public:
    using Clock = std::chrono::steady_clock;

    /** @param onExpired Called in the event loop's thread on expiry; never after this object's destruction. */
    Deadline(boost::asio::io_context& loop, std::function<void()> onExpired);
    ~Deadline();
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    /** Sets the expiry to `limit` from now. */
    void arm(Clock::duration limit);
    /** Removes the expiry. */
    void disarm();

private:
    struct State {
        State(boost::asio::io_context& loop, std::function<void()> callback);

        boost::asio::steady_timer timer;
        std::function<void()> onExpired;
        std::optional<Clock::time_point> expiry;
        std::optional<Clock::time_point> timerExpiry;
    };

    static void wait(const std::shared_ptr<State>& state, Clock::time_point until);
    static void timerExpired(const std::shared_ptr<State>& state);

    std::shared_ptr<State> state_;
};

} // namespace swiftlift::transport::internal
