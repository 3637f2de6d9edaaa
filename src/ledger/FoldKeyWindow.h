#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger::internal {

/**
 * @brief Map from the most recently added keys to values. Above `limit` keys, the oldest key is evicted.
 *
 * Keys are evicted by number and not by time, so that all readers of a prefix evict the same keys, whenever they read
 * it.
 */
template <typename Value> class KeyWindow {
public:
    using KeyQueue = std::deque<RequestKey>;

    /** @param limit Maximum number of keys. */
    explicit KeyWindow(std::size_t limit)
        : limit_(limit)
    {
    }

    /** @return Value of the key, or null when the key is not in the map. */
    [[nodiscard]] const Value* find(const RequestKey& key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? nullptr : &found->second;
    }

    /**
     * @brief Adds a key as the newest one.
     * @return `false` when the key is in the map already; the map is then unchanged.
     */
    bool add(const RequestKey& key, const Value& value)
    {
        if (!values_.emplace(key, value).second)
            return false;
        keysByAge_.push_back(key);
        if (keysByAge_.size() > limit_) {
            values_.erase(keysByAge_.front());
            keysByAge_.pop_front();
        }
        return true;
    }

    /** Replaces the value of a key that is in the map. The key keeps its age. */
    void setValue(const RequestKey& key, const Value& value) { values_.at(key) = value; }

    /** @return The keys, oldest first. */
    [[nodiscard]] const KeyQueue& keysByAge() const noexcept { return keysByAge_; }

    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

private:
    std::size_t limit_;
    KeyQueue keysByAge_;
    std::unordered_map<RequestKey, Value> values_;
};

} // namespace swiftlift::ledger::internal
