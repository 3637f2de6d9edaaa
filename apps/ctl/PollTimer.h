#pragma once

#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::ctl {

/** Spaces the attempts of a change, and ends them after a timeout. */
class PollTimer {
public:
    PollTimer() = default;
    virtual ~PollTimer() = default;
    PollTimer(const PollTimer&) = delete;
    PollTimer& operator=(const PollTimer&) = delete;

    /** @brief Waits until the next attempt is due. @return false, without waiting, if the timeout passes first. */
    [[nodiscard]] virtual bool waitForNextAttempt() = 0;
};

/** Waits with exponential backoff until a timeout, counted from construction, has passed. */
class BackoffPollTimer final : public PollTimer {
public:
    explicit BackoffPollTimer(Duration timeout);

    [[nodiscard]] bool waitForNextAttempt() override;

private:
    using Clock = std::chrono::steady_clock;

    Clock::time_point deadline_;
    Duration nextDelay_;
};

} // namespace swiftlift::ctl
