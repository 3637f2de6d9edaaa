#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "swiftlift/ring/BoundedRing.h"
#include "swiftlift/ring/Wakeup.h"

namespace swiftlift::ring {

/**
 * @brief Bounded queue of values for one reading thread, with a wake-up signal for that thread, and optionally with a
 * second queue for values that overtake all others.
 * @tparam T Type of the queued values.
 */
template <typename T> class Inbox {
public:
    /**
     * @param capacity Maximum number of queued values, urgent ones excepted.
     * @param urgentCapacity Maximum number of queued urgent values; 0: none is accepted.
     */
    explicit Inbox(std::size_t capacity, std::size_t urgentCapacity = 0)
        : ring_(capacity)
        , urgent_(urgentCapacity)
    {
    }

    /**
     * @brief Appends a value and wakes the reader, if enough slots are free; never blocks.
     * @param value Value to append; moved from only on success.
     * @param reservedSlots Number of slots that have to stay free for more urgent writers.
     * @return Whether the value was appended.
     */
    [[nodiscard]] bool tryPush(T& value, std::size_t reservedSlots = 0)
    {
        if (!ring_.tryPush(value, reservedSlots)) {
            refused_.fetch_add(1);
            return false;
        }
        wakeup_.signal();
        return true;
    }

    /**
     * @brief Appends a temporary value and wakes the reader, if enough slots are free; never blocks.
     * @param value Value to append, for callers that do not need the value if it is refused.
     * @param reservedSlots Number of slots that have to stay free for more urgent writers.
     * @return Whether the value was appended.
     */
    [[nodiscard]] bool tryPush(T&& value, std::size_t reservedSlots = 0) { return tryPush(value, reservedSlots); }

    /**
     * @brief Appends a value and wakes the reader, or drops the value if the queue is full.
     * @param value Value whose loss is acceptable, such as a metric or a message between routers.
     */
    void pushOrDrop(T&& value) { static_cast<void>(tryPush(value)); }

    /**
     * @brief Appends a value that overtakes all values of tryPush(), and wakes the reader; never blocks.
     * @param value Value to append; moved from only on success.
     * @return Whether the value was appended.
     */
    [[nodiscard]] bool tryPushUrgent(T& value)
    {
        if (!urgent_.tryPush(value)) {
            refused_.fetch_add(1);
            return false;
        }
        wakeup_.signal();
        return true;
    }

    /** @return The oldest urgent value, else the oldest value, removed from the queue; empty if the queue is empty.
     * Never blocks. */
    [[nodiscard]] std::optional<T> tryPop()
    {
        auto value = urgent_.tryPop();
        return value ? std::move(value) : ring_.tryPop();
    }

    /** @return The signal on which the reading thread waits. */
    [[nodiscard]] Wakeup& wakeup() noexcept { return wakeup_; }
    /** @return Number of queued values. */
    [[nodiscard]] std::size_t size() const noexcept { return ring_.size() + urgent_.size(); }
    /** @return Maximum number of queued values, urgent ones excepted. */
    [[nodiscard]] std::size_t capacity() const noexcept { return ring_.capacity(); }

    /** @return Number of pushes refused since construction because too few slots were free. */
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_.load(); }

private:
    BoundedRing<T> ring_;
    BoundedRing<T> urgent_;
    Wakeup wakeup_;
    std::atomic<std::uint64_t> refused_ = 0;
};

} // namespace swiftlift::ring
