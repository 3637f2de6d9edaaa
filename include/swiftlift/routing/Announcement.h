#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::routing {

/** @brief What a backend server states about itself in the head of an answer. */
struct Announcement {
    /** Requests per second that it accepts from all routers together; nullopt: it names no limit. */
    std::optional<double> limit;
    /** It stops serving soon: it must get no new requests. */
    bool leaving = false;
    /** Only with a refusal: it must get no requests of this router for this long. */
    std::optional<Duration> rest {};
    /** It crashes if it has to turn away more than this many requests in a second; nullopt: it is not brittle. */
    std::optional<double> brittle {};

    [[nodiscard]] bool empty() const noexcept { return !limit && !leaving && !rest && !brittle; }
    [[nodiscard]] bool operator==(const Announcement&) const = default;
};

/** @brief What one router tells another about a backend server's announcements. */
struct SharedAnnouncement {
    BackendId backend;
    /** Start time of the instance that stated this, as in BackendEntry; 0 if instances are not told apart. */
    std::uint64_t instance = 0;
    /** Requests per second that it accepts from all routers together; nullopt: it names no limit. */
    std::optional<double> limit;
    /** Time since the server was last known to name this limit, or none; nullopt: nothing is known of its limit. */
    std::optional<Duration> limitAge;
    /** Time since the server last stated that it is leaving; nullopt: it is not known to. */
    std::optional<Duration> leavingAge {};
    /** Requests that it can turn away in a second without crashing; nullopt: it is not brittle. */
    std::optional<double> brittle {};
    /** Time since the server was last known to be as brittle as this, or not; nullopt: nothing is known of it. */
    std::optional<Duration> brittleAge {};
    /** Time since it last turned a request away while it was brittle; nullopt: it is not known to. */
    std::optional<Duration> turnedAwayAge {};

    [[nodiscard]] bool operator==(const SharedAnnouncement&) const = default;
};

/** @brief Number of backend servers whose announcements a router heeds. */
struct AnnouncementCounts {
    /** Servers that name a limit. */
    std::size_t limited = 0;
    std::size_t leaving = 0;
    /** Servers that have asked this router for rest. */
    std::size_t resting = 0;
    /** Servers that crash if they have to turn many requests away. */
    std::size_t brittle = 0;
};

} // namespace swiftlift::routing
