#include "common/Crash.h"

namespace swiftlift::standins {

namespace internal {

    /** How long a request runs that crashes its server. */
    constexpr Milliseconds crashAfter { 5 };

} // namespace internal

void Crash::addControls(Controls& controls)
{
    controls.addValue("crash_on", on_);
    controls.addValue("down_ms", downMs_);
}

bool Crash::happensOn(std::string_view text) const { return !on_.empty() && text.find(on_) != std::string_view::npos; }

Awaitable<void> Crash::run(Exchange& exchange)
{
    co_await exchange.sleep(internal::crashAfter);
    requested_.notify();
    // Nothing of an answer may leave before the server has closed the connection.
    co_await exchange.sleep(downtime());
}

} // namespace swiftlift::standins
