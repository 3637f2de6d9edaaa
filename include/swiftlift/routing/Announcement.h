#pragma once

#include <optional>

#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief What a backend server states about itself in the head of an answer. */
struct Announcement {
    /** Requests per second that it accepts from all routers together; nullopt: it names no limit. */
    std::optional<double> limit;
    /** It stops serving soon: it must get no new requests. */
    bool leaving = false;
    /** Only with a refusal: it must get no requests of this router for this long. */
    std::optional<Duration> rest;

    [[nodiscard]] bool empty() const noexcept { return !limit && !leaving && !rest; }
    [[nodiscard]] bool operator==(const Announcement&) const = default;
};

} // namespace swiftlift::routing
