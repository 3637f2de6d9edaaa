#include "common/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftlift::standins {

void Signal::notify()
{
    for (auto* timer : *waiters_) {
        timer->cancel();
    }
}

Waiter::Waiter(const asio::any_io_executor& executor, Clock::time_point deadline)
    : timer_(executor, deadline)
{
}

Waiter::~Waiter()
{
    for (const auto& place : places_) {
        place.waiters->erase(place.position);
    }
}

void Waiter::add(Signal& signal)
{
    const auto position = signal.waiters_->insert(signal.waiters_->end(), &timer_);
    places_.push_back({ signal.waiters_, position });
}

Awaitable<void> Waiter::wait()
{
    boost::system::error_code error;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

Awaitable<void> waitFor(Signal& signal, Clock::time_point deadline)
{
    const auto executor = co_await asio::this_coro::executor;
    Waiter waiter(executor, deadline);
    waiter.add(signal);
    co_await waiter.wait();
}

Awaitable<void> sleepFor(Milliseconds duration)
{
    const auto executor = co_await asio::this_coro::executor;
    Waiter waiter(executor, Clock::now() + toClock(duration));
    co_await waiter.wait();
}

} // namespace swiftlift::standins
