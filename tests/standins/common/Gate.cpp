#include "common/Gate.h"

#include <stdexcept>

namespace swiftlift::standins {

void Gate::addControls(Controls& controls)
{
    controls.add("outage", [this](const Json& value, Json&) {
        if (value.is_string() && value != "hang") {
            throw std::invalid_argument("true, false or \"hang\"");
        }
        outage_ = value.is_string() ? Outage::Hang : value.get<bool>() ? Outage::Refuse : Outage::None;
        changed_.notify();
    });
    controls.addValue("delay_ms", delayMs_);
    controls.add("freeze_ms", [this](const Json& value, Json&) {
        frozenUntil_ = Clock::now() + toClock(Milliseconds(value.get<double>()));
        changed_.notify();
    });
    controls.add("block", [this](const Json& value, Json&) {
        blocked_ = value.get<std::set<std::string>>();
        changed_.notify();
    });
    controls.add("blocked_hang", [this](const Json& value, Json&) {
        blockedHang_ = value.get<bool>();
        changed_.notify();
    });
}

bool Gate::holds(const Exchange& exchange) const
{
    return isFrozen() || outage_ == Outage::Hang || (blockedHang_ && isBlocked(exchange));
}

Awaitable<bool> Gate::passAddress(Exchange& exchange)
{
    while (holds(exchange) && !exchange.isClosed()) {
        const auto deadline = isFrozen() ? frozenUntil_ : Clock::time_point::max();
        ++held_;
        co_await exchange.wait(changed_, deadline);
        --held_;
    }
    if (!exchange.isClosed() && isBlocked(exchange)) {
        ++refused_;
        exchange.drop();
    }
    co_return !exchange.isClosed();
}

Awaitable<bool> Gate::enter(Exchange& exchange)
{
    const bool passed = co_await passAddress(exchange);
    if (!passed) {
        co_return false;
    }
    co_await exchange.sleep(Milliseconds(delayMs_));
    if (outage_ == Outage::Refuse && !exchange.isClosed()) {
        ++refused_;
        co_await exchange.answerError(503, "outage");
        co_return false;
    }
    co_return !exchange.isClosed();
}

Awaitable<bool> Gate::leave(Exchange& exchange)
{
    const bool passed = co_await passAddress(exchange);
    if (passed && outage_ == Outage::Refuse) {
        ++refused_;
        exchange.drop();
    }
    co_return !exchange.isClosed();
}

} // namespace swiftlift::standins
