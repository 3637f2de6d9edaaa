#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "node/Context.h"
#include "swiftlift/node/Event.h"

namespace swiftlift::node {

/** What is known of a check that was requested. */
enum class CheckState : std::uint8_t {
    Open,
    /** This router has all records that the log had when the check was requested. */
    Complete,
    /** The log did not answer. */
    Failed,
};

/**
 * @brief Finds out whether this router has read a keyed stream to its end.
 *
 * A router that stood still, or whose reads hang, can't tell from its own clock or from its last read that its list is
 * outdated. So the log is asked for the end of the stream after the moment for which the list has to be complete.
 * Requests that arrive during a check share the next one.
 */
class ListCheck {
public:
    ListCheck(Context& context, StreamName stream);

    /** @return Number of a check that begins after this call. */
    [[nodiscard]] std::uint64_t request();
    /** @return Shortest time between the beginnings of two checks. */
    [[nodiscard]] Duration period() const noexcept { return period_; }
    /** @return The state of the check with this number, or of a later one. */
    [[nodiscard]] CheckState state(std::uint64_t number) const noexcept;

    /** Handles the log's answer to a check. */
    void on(const StreamEnd& event);
    /** Handles that all records before this offset have been applied. */
    void onApplied(Offset next);
    /** Starts a check that has waited. */
    void tick();
    /** Sets the shortest time between the beginnings of two checks. */
    void setPeriod(Duration period) noexcept { period_ = period; }

    static constexpr Duration minPeriod = std::chrono::milliseconds(20);

private:
    /** A stream's end, stated for a check, that the records read so far don't reach. */
    struct Behind {
        std::uint64_t number = 0;
        Offset end;
    };

    void start();

    Context& context_;
    StreamName stream_;
    Duration period_ = minPeriod;
    Instant nextStart_ {};
    std::uint64_t lastNumber_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t failed_ = 0;
    bool inFlight_ = false;
    bool waiting_ = false;
    std::deque<Behind> behind_;
    Offset applied_;
};

} // namespace swiftlift::node
