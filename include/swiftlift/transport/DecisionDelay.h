#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::transport {

/**
 * @brief How long events wait for the decision thread, measured by the age of what it handles.
 *
 * The number of waiting events does not show a lag: on a VM with 0.09 cores, a decision thread that runs in bursts 0.3
 * to 1 s apart had fewer than 100 events in its ring. So each event carries its time of arrival. Written by the
 * decision thread, read by any thread.
 */
class DecisionDelay {
public:
    /** @brief Records that an event is about to be handled, or that a tick was due at `arrivedAt`. */
    void onEvent(Instant arrivedAt, Instant now) noexcept
    {
        dueAt_.store(now, std::memory_order_relaxed);
        const Duration delay = now - arrivedAt;
        const bool expired = now - longestAt_.load(std::memory_order_relaxed) >= holdTime;
        if (expired || delay >= longest_.load(std::memory_order_relaxed)) {
            longest_.store(delay, std::memory_order_relaxed);
            longestAt_.store(now, std::memory_order_relaxed);
        }
    }

    /** @brief Records that the decision thread has handled all events, and runs again at `nextTick` at the latest. */
    void onIdle(Instant nextTick) noexcept { dueAt_.store(nextTick, std::memory_order_relaxed); }

    /**
     * @param now The current time.
     * @return The longest wait of events that were handled recently, or of an event that would be waiting now.
     */
    [[nodiscard]] Duration recent(Instant now) const noexcept
    {
        const bool held = now - longestAt_.load(std::memory_order_relaxed) < holdTime;
        const Duration handled = held ? longest_.load(std::memory_order_relaxed) : Duration {};
        const Instant dueAt = dueAt_.load(std::memory_order_relaxed);
        const Duration overdue = dueAt == Instant {} ? Duration {} : now - dueAt;
        return std::max({ handled, overdue, Duration {} });
    }

private:
    /** How long the longest wait counts. Longer than the 250 ms beyond which requests are refused, so that the gap
     * between two bursts of the decision thread does not count as free of lag. */
    static constexpr Duration holdTime = std::chrono::milliseconds(500);

    std::atomic<Duration> longest_ { Duration {} };
    std::atomic<Instant> longestAt_ { Instant {} };
    /** When the decision thread is to take its next event at the latest; after that, it is late. */
    std::atomic<Instant> dueAt_ { Instant {} };
};

} // namespace swiftlift::transport
