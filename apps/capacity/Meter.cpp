#include "capacity/Meter.h"

#include <ctime>
#include <malloc.h>

#include <algorithm>

namespace swiftlift::capacity {

namespace {

    constexpr double microsecondsPerSecond = 1e6;
    constexpr double nanosecondsPerMicrosecond = 1e3;
    constexpr int calibrationReadings = 2000;

    [[nodiscard]] double costOfReading() noexcept
    {
        const double before = threadMicroseconds();
        for (int reading = 0; reading < calibrationReadings; ++reading) {
            (void)threadMicroseconds();
        }
        return (threadMicroseconds() - before) / calibrationReadings;
    }

} // namespace

double threadMicroseconds() noexcept
{
    timespec time {};
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * microsecondsPerSecond
        + static_cast<double>(time.tv_nsec) / nanosecondsPerMicrosecond;
}

std::int64_t heapBytes() noexcept
{
    const auto info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

Meter::Meter() noexcept
    : startBytes_(heapBytes())
    , startMicroseconds_(threadMicroseconds())
{
}

double Meter::microseconds() const noexcept { return threadMicroseconds() - startMicroseconds_; }

double Meter::bytes() const noexcept { return static_cast<double>(heapBytes() - startBytes_); }

Stopwatch::Stopwatch()
    : perReading_(costOfReading())
{
}

void Stopwatch::stop() noexcept
{
    sum_ += threadMicroseconds() - started_;
    ++pieces_;
}

double Stopwatch::microseconds() const noexcept
{
    return std::max(0.0, sum_ - perReading_ * static_cast<double>(pieces_));
}

} // namespace swiftlift::capacity
