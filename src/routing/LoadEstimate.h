#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/routing/BackendTable.h"

namespace swiftlift::routing {

/** Requests at a backend server, now. */
struct LoadNow {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/**
 * @brief Load of one backend server: its last report, corrected by what this router sent and saw end since.
 */
class LoadEstimate {
public:
    /** @param slots Requests the backend server runs at once; 0: not told. */
    LoadEstimate(const TableSettings& settings, std::uint32_t slots);

    void onReport(const LoadReport& report, Instant now);
    void onDispatched(AttemptId attempt, Instant now);
    /** @return How long it ran; nothing for an unknown attempt. */
    std::optional<Duration> onFinished(AttemptId attempt, bool completed, Instant now);
    /** @brief It started anew: nothing of before runs there. */
    void restart();

    [[nodiscard]] LoadNow now(Instant now) const;
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return static_cast<std::uint32_t>(running_.size()); }
    [[nodiscard]] std::uint32_t slots() const noexcept { return slots_; }
    [[nodiscard]] Duration hold() const noexcept { return hold_; }
    [[nodiscard]] Duration step() const noexcept { return step_; }
    [[nodiscard]] std::optional<Duration> reportAge(Instant now) const;

private:
    struct Finished {
        Instant sent;
        Instant ended;
    };

    Duration lag_;
    Duration lifetime_;
    std::map<AttemptId, Instant> running_;
    /** Ended after the moment that the last report shows. */
    std::vector<Finished> finished_;
    std::uint32_t reported_ = 0;
    std::optional<Instant> reportedAt_;
    std::uint32_t slots_;
    Duration hold_;
    Duration step_;
};

} // namespace swiftlift::routing
