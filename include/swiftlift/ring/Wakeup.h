#pragma once

#include <atomic>
#include <chrono>

namespace swiftlift::ring {

/**
 * @brief Wakes the thread that reads a queue, through an event file descriptor (eventfd).
 *
 * All threads use a descriptor because poll(2), ZeroMQ's poller and Asio can all wait on an additional descriptor.
 */
class Wakeup {
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup&) = delete;
    Wakeup& operator=(const Wakeup&) = delete;

    /**
     * @brief Wakes the reader; makes a system call only if there is no earlier signal that the reader hasn't consumed.
     */
    void signal() noexcept;

    /**
     * @brief Clears the signal.
     *
     * The reader has to call this before it empties the queue, so that a push that happens meanwhile signals again.
     */
    void consume() noexcept;

    /**
     * @brief Blocks until the next signal or the timeout, without clearing the signal.
     * @param timeout Longest time to wait.
     * @return Whether a signal is pending.
     */
    [[nodiscard]] bool waitFor(std::chrono::milliseconds timeout) const noexcept;

    /** @return The event file descriptor, readable while a signal is pending; owned by this object. */
    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_ = -1;
    std::atomic<bool> signalled_ = false;
};

} // namespace swiftlift::ring
