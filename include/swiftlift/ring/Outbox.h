#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "swiftlift/ring/Inbox.h"

namespace swiftlift::ring {

/**
 * @brief One thread's end of another one's ring, for what must arrive: it waits here, in order, while the ring is full.
 *
 * What goes wrong without it: the end of an attempt, or the reply to a caller, finds the ring full and is lost; the
 * caller then waits until its deadline. A writer that blocked instead would stop every other stream. The queue is
 * bounded by what the writer has in progress, since each call and each attempt makes a handful of such items.
 *
 * @tparam T What is handed over.
 */
template <typename T> class Outbox {
public:
    explicit Outbox(Inbox<T>& inbox)
        : inbox_(inbox)
    {
    }

    void push(T&& value)
    {
        if (!waiting_.empty() || !inbox_.tryPush(value)) {
            waiting_.push_back(std::move(value));
        }
    }

    /** Hands over what waits, as far as there is room. To be called now and then. */
    void flush()
    {
        while (!waiting_.empty() && inbox_.tryPush(waiting_.front())) {
            waiting_.pop_front();
        }
    }

    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    Inbox<T>& inbox_;
    std::deque<T> waiting_;
};

} // namespace swiftlift::ring
