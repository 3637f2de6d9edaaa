#pragma once

#include <string>
#include <string_view>

#include "common/Controls.h"
#include "common/Exchange.h"
#include "common/Signal.h"

namespace swiftlift::standins {

/** Has the server of a stand-in end as a crashed process does when it runs a named request, and come back later. */
class Crash {
public:
    /** Adds `crash_on` (part of the text of a request) and `down_ms` (for so long new connections are refused). */
    void addControls(Controls& controls);

    /** @return Whether the server crashes on a request with this text. */
    [[nodiscard]] bool happensOn(std::string_view text) const;

    /** Runs such a request: soon all connections of the server close, this one included. */
    [[nodiscard]] Awaitable<void> run(Exchange& exchange);

    [[nodiscard]] Signal& requested() noexcept { return requested_; }
    [[nodiscard]] Milliseconds downtime() const noexcept { return Milliseconds(downMs_); }

private:
    Signal requested_;
    std::string on_;
    double downMs_ = 500;
};

} // namespace swiftlift::standins
