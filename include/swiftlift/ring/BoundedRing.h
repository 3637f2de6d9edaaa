#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include <boost/lockfree/queue.hpp>

namespace swiftlift::ring {

/**
 * @brief Bounded queue for any number of writers and readers; neither writing nor reading ever blocks.
 * @tparam T Type of the queued values.
 */
template <typename T> class BoundedRing {
public:
    /** @param capacity Maximum number of queued values. */
    explicit BoundedRing(std::size_t capacity)
        : queue_(capacity)
        , capacity_(capacity)
    {
    }

    ~BoundedRing()
    {
        while (tryPop()) { }
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    /**
     * @brief Appends a value if enough slots are free; never blocks.
     * @param value Value to append; moved from only on success.
     * @param reservedSlots Number of slots that have to stay free for more urgent writers.
     * @return Whether the value was appended.
     */
    [[nodiscard]] bool tryPush(T& value, std::size_t reservedSlots = 0)
    {
        if (size_.fetch_add(1) + reservedSlots >= capacity_) {
            size_.fetch_sub(1);
            return false;
        }
        auto item = std::make_unique<T>(std::move(value));
        if (!queue_.bounded_push(item.get())) {
            size_.fetch_sub(1);
            value = std::move(*item);
            return false;
        }
        static_cast<void>(item.release());
        return true;
    }

    /**
     * @brief Appends a temporary value if enough slots are free; never blocks.
     * @param value Value to append, for callers that do not need the value if it is refused.
     * @param reservedSlots Number of slots that have to stay free for more urgent writers.
     * @return Whether the value was appended.
     */
    [[nodiscard]] bool tryPush(T&& value, std::size_t reservedSlots = 0) { return tryPush(value, reservedSlots); }

    /** @return The oldest value, removed from the queue; empty if the queue is empty. Never blocks. */
    [[nodiscard]] std::optional<T> tryPop()
    {
        T* node = nullptr;
        if (!queue_.pop(node)) {
            return std::nullopt;
        }
        size_.fetch_sub(1);
        const std::unique_ptr<T> item(node);
        return std::move(*item);
    }

    /** @return Number of queued values; counts values whose push is in progress. */
    [[nodiscard]] std::size_t size() const noexcept { return size_.load(); }
    /** @return Maximum number of queued values. */
    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }

private:
    boost::lockfree::queue<T*> queue_;
    std::atomic<std::size_t> size_ = 0;
    const std::size_t capacity_;
};

} // namespace swiftlift::ring
