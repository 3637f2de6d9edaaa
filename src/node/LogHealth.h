#pragma once

#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::node {

/** Whether this router reaches the platform's log itself. */
class LogHealth {
public:
    /** Reads are long polls that return within a second; this long without any answer is an outage. */
    static constexpr Duration silenceLimit = std::chrono::seconds(4);

    /** Handles an answer of the log. */
    void onAnswer(Instant now) noexcept
    {
        lastAnswer_ = now;
        answered_ = true;
        failing_ = false;
    }

    /** Handles a failed read or append. */
    void onFailure() noexcept { failing_ = true; }

    /** @return True when the last call was answered and the answer is not older than `silenceLimit`. */
    [[nodiscard]] bool reachable(Instant now) const noexcept
    {
        return answered_ && !failing_ && now - lastAnswer_ < silenceLimit;
    }

private:
    Instant lastAnswer_ {};
    bool answered_ = false;
    bool failing_ = false;
};

} // namespace swiftlift::node
