#pragma once

#include <cstdint>

namespace swiftlift::capacity {

/** @return Processor time of this thread, in microseconds. */
[[nodiscard]] double threadMicroseconds() noexcept;

/** @return Bytes that the heap has handed out, mapped blocks included. */
[[nodiscard]] std::int64_t heapBytes() noexcept;

/** @brief Processor time and heap since a moment. */
class Meter {
public:
    Meter() noexcept;

    [[nodiscard]] double microseconds() const noexcept;
    [[nodiscard]] double bytes() const noexcept;

private:
    std::int64_t startBytes_;
    double startMicroseconds_;
};

/** @brief Adds up the processor time of many short pieces of work, less what reading the clock costs. */
class Stopwatch {
public:
    Stopwatch();

    void start() noexcept { started_ = threadMicroseconds(); }
    void stop() noexcept;

    [[nodiscard]] double microseconds() const noexcept;

private:
    double perReading_ = 0;
    double started_ = 0;
    double sum_ = 0;
    std::uint64_t pieces_ = 0;
};

} // namespace swiftlift::capacity
