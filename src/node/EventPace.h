#pragma once

#include <cstdint>
#include <optional>

#include "swiftlift/base/Units.h"

namespace swiftlift::node {

/** Measures the mean time between the events that one attempt brings. */
class EventPace {
public:
    /** @param events Events of the answer that earlier attempts brought. */
    void start(std::uint64_t events)
    {
        *this = {};
        lastCount_ = events;
    }

    /** @param events Events of the answer so far, those of earlier attempts included. */
    void onEvents(std::uint64_t events, Instant now)
    {
        if (events <= lastCount_) {
            return;
        }
        if (!firstAt_) {
            firstAt_ = now;
            firstCount_ = events;
        }
        lastAt_ = now;
        lastCount_ = events;
    }

    /** @return Mean time between two events; nullopt: fewer than two were observed at different times. */
    [[nodiscard]] std::optional<Duration> mean() const
    {
        if (!firstAt_ || lastCount_ == firstCount_) {
            return std::nullopt;
        }
        return (lastAt_ - *firstAt_) / static_cast<Duration::rep>(lastCount_ - firstCount_);
    }

private:
    std::optional<Instant> firstAt_;
    Instant lastAt_ {};
    std::uint64_t firstCount_ = 0;
    std::uint64_t lastCount_ = 0;
};

} // namespace swiftlift::node
