#pragma once

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "common/Types.h"

namespace swiftlift::standins {

/**
 * @brief Wakes the coroutines that wait for a change. For use on a single thread.
 *
 * The list of waiters is shared with them, because a coroutine that is still suspended when its I/O context is
 * destroyed leaves the list after the signal's owner is gone.
 */
class Signal {
public:
    /** Wakes all that wait now. */
    void notify();

private:
    friend class Waiter;
    using Waiters = std::list<asio::steady_timer*>;

    std::shared_ptr<Waiters> waiters_ = std::make_shared<Waiters>();
};

/** One wait of one coroutine, for a signal or a deadline, whichever comes first. */
class Waiter {
public:
    Waiter(const asio::any_io_executor& executor, Clock::time_point deadline);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    /** @param signal Ends the wait too. */
    void add(Signal& signal);

    /** Returns after the deadline or the next notification. */
    [[nodiscard]] Awaitable<void> wait();

private:
    struct Place {
        std::shared_ptr<Signal::Waiters> waiters;
        Signal::Waiters::iterator position;
    };

    asio::steady_timer timer_;
    std::list<Place> places_;
};

/** Waits for the signal or the deadline. */
[[nodiscard]] Awaitable<void> waitFor(Signal& signal, Clock::time_point deadline = Clock::time_point::max());

/** Waits for the duration. */
[[nodiscard]] Awaitable<void> sleepFor(Milliseconds duration);

} // namespace swiftlift::standins
