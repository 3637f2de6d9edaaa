#pragma once

#include "common/Controls.h"
#include "common/Crash.h"
#include "common/Exchange.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** What a stand-in does behind its HTTP server. Runs on a single thread. */
class Service {
public:
    virtual ~Service() = default;

    /** Serves everything but `/control` and `/audit`. An exchange left unanswered is answered with 404. */
    [[nodiscard]] virtual Awaitable<void> serve(Exchange& exchange) = 0;

    /** @return What `GET /audit` and the paths below it show. */
    [[nodiscard]] virtual Json audit(const Exchange& exchange) const = 0;

    /** Starts what runs without being called; called once, before the first exchange. */
    virtual void start(asio::io_context&) { }

    /** It listens again after a crash: a new life of it has begun. */
    virtual void onRestart() { }

    [[nodiscard]] Crash& crash() noexcept { return crash_; }
    [[nodiscard]] Controls& controls() noexcept { return controls_; }
    [[nodiscard]] ByteCounts& byteCounts() noexcept { return byteCounts_; }
    [[nodiscard]] const ByteCounts& byteCounts() const noexcept { return byteCounts_; }

private:
    Controls controls_;
    Crash crash_;
    ByteCounts byteCounts_;
};

} // namespace swiftlift::standins
