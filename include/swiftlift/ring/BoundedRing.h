#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include <boost/lockfree/queue.hpp>

namespace swiftlift::ring {

/**
 * @brief Bounded queue of many writers and many readers; never blocks either side.
 * @tparam T What is handed over.
 */
template <typename T> class BoundedRing {
public:
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
     * @param value Moved from only on success.
     * @param reserve Places that have to stay free for more urgent writers.
     * @return Whether there was room.
     */
    [[nodiscard]] bool tryPush(T& value, std::size_t reserve = 0)
    {
        if (size_.fetch_add(1) + reserve >= capacity_) {
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

    /** As above, for who has no use for what was refused. */
    [[nodiscard]] bool tryPush(T&& value, std::size_t reserve = 0) { return tryPush(value, reserve); }

    [[nodiscard]] std::optional<T> tryPop()
    {
        T* raw = nullptr;
        if (!queue_.pop(raw)) {
            return std::nullopt;
        }
        size_.fetch_sub(1);
        const std::unique_ptr<T> item(raw);
        return std::move(*item);
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_.load(); }
    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }

private:
    boost::lockfree::queue<T*> queue_;
    std::atomic<std::size_t> size_ = 0;
    const std::size_t capacity_;
};

} // namespace swiftlift::ring
