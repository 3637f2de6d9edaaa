#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace swiftlift {

/** Number of tokens; the unit of budgets, grants and bills. */
class Tokens {
public:
    constexpr Tokens() = default;

    constexpr explicit Tokens(std::int64_t count) noexcept
        : count_(count)
    {
    }

    [[nodiscard]] constexpr std::int64_t value() const noexcept { return count_; }

    [[nodiscard]] constexpr auto operator<=>(const Tokens&) const noexcept = default;

    constexpr Tokens& operator+=(Tokens other) noexcept
    {
        count_ += other.count_;
        return *this;
    }

    constexpr Tokens& operator-=(Tokens other) noexcept
    {
        count_ -= other.count_;
        return *this;
    }

    [[nodiscard]] friend constexpr Tokens operator+(Tokens left, Tokens right) noexcept { return left += right; }
    [[nodiscard]] friend constexpr Tokens operator-(Tokens left, Tokens right) noexcept { return left -= right; }

    friend std::ostream& operator<<(std::ostream& out, Tokens tokens) { return out << tokens.count_; }

private:
    std::int64_t count_ = 0;
};

/** Clock of the decision core. The clock has no `now()`: each event passed to the core carries its time. */
struct CoreClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/** Point in time on the decision core's clock; monotonic within an incarnation. */
using Instant = CoreClock::time_point;
/** Time span on the decision core's clock, in microseconds. */
using Duration = CoreClock::duration;

} // namespace swiftlift

template <> struct std::hash<swiftlift::Tokens> {
    [[nodiscard]] std::size_t operator()(swiftlift::Tokens tokens) const noexcept
    {
        return std::hash<std::int64_t> {}(tokens.value());
    }
};
