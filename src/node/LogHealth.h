#pragma once

#include <chrono>

#include "swiftlift/base/Units.h"

namespace swiftlift::node {

/** Whether this router reaches the platform's log itself. */
class LogHealth {
public:
    /** Reads are long polls that come back within a second; a silence this long is an outage. */
    static constexpr Duration silenceLimit = std::chrono::seconds(4);

    void onAnswer(Instant now) noexcept
    {
        lastAnswer_ = now;
        answered_ = true;
        failing_ = false;
    }

    void onFailure() noexcept { failing_ = true; }

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
