#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace swiftlift {

/**
 * @brief Wraps a value in a type of its own, so that values with the same underlying type can't be mixed up.
 * @tparam Tag Distinguishes this strong type from others with the same underlying type.
 * @tparam Value Underlying type.
 */
template <typename Tag, typename Value> class StrongType {
public:
    using ValueType = Value;

    constexpr StrongType() = default;

    constexpr explicit StrongType(Value value) noexcept
        : value_(std::move(value))
    {
    }

    /** @return The wrapped value. */
    [[nodiscard]] constexpr const Value& value() const noexcept { return value_; }

    [[nodiscard]] auto operator<=>(const StrongType&) const = default;
    [[nodiscard]] bool operator==(const StrongType&) const = default;

private:
    Value value_ {};
};

template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& out, const StrongType<Tag, Value>& wrapped)
{
    return out << wrapped.value();
}

} // namespace swiftlift

template <typename Tag, typename Value> struct std::hash<swiftlift::StrongType<Tag, Value>> {
    [[nodiscard]] std::size_t operator()(const swiftlift::StrongType<Tag, Value>& wrapped) const
    {
        return std::hash<Value> {}(wrapped.value());
    }
};
