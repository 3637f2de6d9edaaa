#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "swiftlift/ring/Inbox.h"

namespace swiftlift::ring {

/**
 * @brief Writes values that must not be lost into another thread's inbox; keeps them in order while the inbox is full.
 *
 * If the end of an attempt or the reply to a caller were dropped at a full inbox, the caller would wait until its
 * deadline. If the writer blocked instead, it would stop every other stream that it serves. The queue has no limit of
 * its own: its length is bounded by the writer's calls and attempts in progress, each of which pushes only a handful of
 * values. An outbox is used by one thread only.
 *
 * @tparam T Type of the values.
 */
template <typename T> class Outbox {
public:
    /** @param inbox Inbox of the receiving thread; must outlive the outbox. */
    explicit Outbox(Inbox<T>& inbox)
        : inbox_(inbox)
    {
    }

    /** @brief Appends a value to the inbox, or queues it if the inbox is full or earlier values are still queued. */
    void push(T&& value)
    {
        if (!waiting_.empty() || !inbox_.tryPush(value)) {
            waiting_.push_back(std::move(value));
        }
    }

    /** @brief Moves queued values to the inbox until the inbox is full. The owner has to call this periodically. */
    void flush()
    {
        while (!waiting_.empty() && inbox_.tryPush(waiting_.front())) {
            waiting_.pop_front();
        }
    }

    /** @return Number of values queued because the inbox was full. */
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    Inbox<T>& inbox_;
    std::deque<T> waiting_;
};

} // namespace swiftlift::ring
