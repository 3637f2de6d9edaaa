#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger::internal {

/**
 * @brief The latest keys with a value each; the oldest key is forgotten when there are too many.
 *
 * Counted, not timed: readers of the same prefix forget the same keys, whenever they read it.
 */
template <typename Value> class KeyWindow {
public:
    using Order = std::deque<RequestKey>;

    explicit KeyWindow(std::size_t limit)
        : limit_(limit)
    {
    }

    /** @return The key's value, or null when it is not remembered. */
    [[nodiscard]] const Value* find(const RequestKey& key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? nullptr : &found->second;
    }

    /**
     * @brief Remembers a new key as the youngest one.
     * @return false when the key is remembered already; nothing is changed.
     */
    bool add(const RequestKey& key, const Value& value)
    {
        if (!values_.emplace(key, value).second)
            return false;
        order_.push_back(key);
        if (order_.size() > limit_) {
            values_.erase(order_.front());
            order_.pop_front();
        }
        return true;
    }

    /** Changes the value of a remembered key, which keeps its age. */
    void change(const RequestKey& key, const Value& value) { values_.at(key) = value; }

    /** @return The keys, oldest first. */
    [[nodiscard]] const Order& order() const noexcept { return order_; }

    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

private:
    std::size_t limit_;
    Order order_;
    std::unordered_map<RequestKey, Value> values_;
};

} // namespace swiftlift::ledger::internal
