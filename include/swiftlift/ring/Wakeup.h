#pragma once

#include <atomic>
#include <chrono>

namespace swiftlift::ring {

/**
 * @brief Wakes the thread at the reading end of a ring, by an event file descriptor.
 *
 * One mechanism for all threads: poll(2), ZeroMQ's poller and Asio all wait on a descriptor beside their own.
 */
class Wakeup {
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    /** Wakes the reader; costs a system call only when the reader has not been woken already. */
    void signal() noexcept;

    /** To be called by the reader before it empties the ring, so that what is pushed meanwhile wakes it again. */
    void consume() noexcept;

    /** @return Whether it was signalled within `limit`. */
    [[nodiscard]] bool waitFor(std::chrono::milliseconds limit) const noexcept;

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_ = -1;
    std::atomic<bool> signalled_ = false;
};

} // namespace swiftlift::ring
