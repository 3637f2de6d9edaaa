#include "ctl/Patience.h"

#include <algorithm>
#include <thread>

namespace swiftlift::ctl {

namespace {

    constexpr Duration firstPause = std::chrono::milliseconds(100);
    constexpr Duration longestPause = std::chrono::seconds(2);

} // namespace

TimedPatience::TimedPatience(Duration limit)
    : end_(Clock::now() + limit)
    , next_(firstPause)
{
}

bool TimedPatience::pause()
{
    if (Clock::now() + next_ >= end_) {
        return false;
    }
    std::this_thread::sleep_for(next_);
    next_ = std::min(next_ * 2, longestPause);
    return true;
}

} // namespace swiftlift::ctl
