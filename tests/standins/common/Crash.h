#pragma once

#include "common/Signal.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** Asks the server of a stand-in to end as a crashed process does, and to come back later. */
class Crash {
public:
    /** All connections close at once, and new ones are refused for so long. */
    void request(Milliseconds downtime)
    {
        downtime_ = downtime;
        requested_.notify();
    }

    [[nodiscard]] Signal& requested() noexcept { return requested_; }
    [[nodiscard]] Milliseconds downtime() const noexcept { return downtime_; }

private:
    Signal requested_;
    Milliseconds downtime_ {};
};

} // namespace swiftlift::standins
