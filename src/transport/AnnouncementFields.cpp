#include "swiftlift/transport/AnnouncementFields.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "swiftlift/base/Numbers.h"

namespace swiftlift::transport {

namespace {

    constexpr int statusTooManyRequests = 429;
    constexpr int statusUnavailable = 503;
    /** Longer rests are reduced to this, which fits into a Duration. */
    constexpr double maxRestSeconds = 3600;

    std::optional<double> nonNegative(const HeaderFields& fields, std::string_view name)
    {
        const auto text = valueOf(fields, name);
        const auto number = text ? parseDecimal(*text) : std::nullopt;
        return number && *number >= 0 ? number : std::nullopt;
    }

    std::optional<Duration> restOf(const AnswerHead& answer)
    {
        if (answer.status != statusTooManyRequests && answer.status != statusUnavailable) {
            return std::nullopt;
        }
        const auto seconds = nonNegative(answer.fields, "Retry-After");
        if (!seconds) {
            return std::nullopt;
        }
        return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(*seconds, maxRestSeconds)));
    }

} // namespace

routing::Announcement readAnnouncement(const AnswerHead& answer, const AnnouncementFields& names)
{
    routing::Announcement announcement;
    announcement.limit = nonNegative(answer.fields, names.limit);
    announcement.leaving = valueOf(answer.fields, names.leaving) == "1";
    announcement.rest = restOf(answer);
    announcement.brittle = nonNegative(answer.fields, names.brittle);
    return announcement;
}

} // namespace swiftlift::transport
