#pragma once

#include <functional>

#include "common/Lagged.h"
#include "common/Types.h"

namespace swiftlift::standins {

/** The body of `GET /load`, as it was some time ago. */
class LoadReport {
public:
    /** @param current Makes the report of this moment; called at regular intervals once this is started. */
    explicit LoadReport(std::function<Json()> current);

    /** Starts to sample. */
    void start(asio::io_context& context);

    /** @return The report as old as `lag`, with a `generation` that no other life of the process has. */
    [[nodiscard]] Json seen(Milliseconds lag);

private:
    [[nodiscard]] Json now() const;
    [[nodiscard]] Awaitable<void> sample();

    std::function<Json()> current_;
    std::uint64_t generation_;
    Lagged<Json> history_;
};

} // namespace swiftlift::standins
