#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace swiftlift {

/**
 * @brief A value that can't be mistaken for another one of the same representation.
 * @tparam Tag Distinguishes one strong type from the others.
 * @tparam Value Representation.
 */
template <typename Tag, typename Value> class StrongType {
public:
    using ValueType = Value;

    constexpr StrongType() = default;

    constexpr explicit StrongType(Value value) noexcept
        : value_(std::move(value))
    {
    }

    /** @return The representation. */
    [[nodiscard]] constexpr const Value& value() const noexcept { return value_; }

    [[nodiscard]] auto operator<=>(const StrongType&) const = default;
    [[nodiscard]] bool operator==(const StrongType&) const = default;

private:
    Value value_ {};
};

template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& out, const StrongType<Tag, Value>& strong)
{
    return out << strong.value();
}

} // namespace swiftlift

template <typename Tag, typename Value> struct std::hash<swiftlift::StrongType<Tag, Value>> {
    [[nodiscard]] std::size_t operator()(const swiftlift::StrongType<Tag, Value>& strong) const
    {
        return std::hash<Value> {}(strong.value());
    }
};
