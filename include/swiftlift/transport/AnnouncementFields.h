#pragma once

#include <string_view>

#include "swiftlift/routing/Announcement.h"
#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport {

/** Names of the header fields in which backend servers state their limit, their leaving and their brittleness. */
struct AnnouncementFields {
    /** Value: requests per second, a decimal number. */
    std::string_view limit;
    /** Value: `1` if the server is leaving. */
    std::string_view leaving;
    /** Value: requests that the server can turn away in a second without crashing, a decimal number. */
    std::string_view brittle;
};

/** The names at the project's own interface. */
inline constexpr AnnouncementFields nativeAnnouncementFields { "X-Limit", "X-Leaving", "X-Brittle" };

/**
 * @brief Reads what a backend server states about itself in an answer's head.
 *
 * A value that can't be read counts as absent. `Retry-After` counts only in refusals, with status 429 or 503.
 */
[[nodiscard]] routing::Announcement readAnnouncement(const AnswerHead& answer, const AnnouncementFields& names);

} // namespace swiftlift::transport
