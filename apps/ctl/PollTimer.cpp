#include "ctl/PollTimer.h"

#include <algorithm>
#include <thread>

namespace swiftlift::ctl {

namespace {

    /** Delay before the second attempt; doubled before each further attempt, up to maxDelay. */
    constexpr Duration firstDelay = std::chrono::milliseconds(100);
    constexpr Duration maxDelay = std::chrono::seconds(2);

} // namespace

BackoffPollTimer::BackoffPollTimer(Duration timeout)
    : deadline_(Clock::now() + timeout)
    , nextDelay_(firstDelay)
{
}

bool BackoffPollTimer::waitForNextAttempt()
{
    if (Clock::now() + nextDelay_ >= deadline_) {
        return false;
    }
    std::this_thread::sleep_for(nextDelay_);
    nextDelay_ = std::min(nextDelay_ * 2, maxDelay);
    return true;
}

} // namespace swiftlift::ctl
