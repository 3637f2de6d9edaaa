#pragma once

#include <deque>
#include <utility>

#include "common/Types.h"

namespace swiftlift::standins {

/** A value that its readers see late. */
template <typename Value> class Lagged {
public:
    explicit Lagged(Value initial) { history_.push_back({ Clock::time_point::min(), std::move(initial) }); }

    /** @param value Holds from now on. */
    void set(Value value) { history_.push_back({ Clock::now(), std::move(value) }); }

    /** @return The value that held `lag` ago. */
    [[nodiscard]] const Value& seen(Clock::duration lag)
    {
        const auto moment = Clock::now() - lag;
        while (history_.size() > 1 && history_[1].since <= moment) {
            history_.pop_front();
        }
        return history_.front().value;
    }

    [[nodiscard]] const Value& current() const { return history_.back().value; }

private:
    struct Entry {
        Clock::time_point since;
        Value value;
    };

    std::deque<Entry> history_;
};

} // namespace swiftlift::standins
