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
 * @brief A thread's bounded ring together with what wakes that thread.
 * @tparam T What the thread is handed.
 */
template <typename T> class Inbox {
public:
    explicit Inbox(std::size_t capacity)
        : ring_(capacity)
    {
    }

    /**
     * @param value Moved from only on success.
     * @param reserve Places that have to stay free for more urgent writers.
     * @return Whether there was room.
     */
    [[nodiscard]] bool tryPush(T& value, std::size_t reserve = 0)
    {
        if (!ring_.tryPush(value, reserve)) {
            refused_.fetch_add(1);
            return false;
        }
        wakeup_.signal();
        return true;
    }

    /** As above, for who has no use for what was refused. */
    [[nodiscard]] bool tryPush(T&& value, std::size_t reserve = 0) { return tryPush(value, reserve); }

    /** As tryPush() for what may be lost, such as figures and messages between routers. */
    void pushOrDrop(T&& value) { static_cast<void>(tryPush(value)); }

    [[nodiscard]] std::optional<T> tryPop() { return ring_.tryPop(); }

    [[nodiscard]] Wakeup& wakeup() noexcept { return wakeup_; }
    [[nodiscard]] std::size_t size() const noexcept { return ring_.size(); }
    [[nodiscard]] std::size_t capacity() const noexcept { return ring_.capacity(); }

    /** @return How often the ring was full when somebody wanted to push. */
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_.load(); }

private:
    BoundedRing<T> ring_;
    Wakeup wakeup_;
    std::atomic<std::uint64_t> refused_ = 0;
};

} // namespace swiftlift::ring
