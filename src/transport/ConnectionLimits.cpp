#include "transport/ConnectionLimits.h"

#include <algorithm>
#include <charconv>

#include <sys/resource.h>

namespace swiftlift::transport::internal {

namespace {

    /** Time that an answer needs at most, as a rule, from the backend server to being handled by a loaded router. */
    constexpr std::chrono::milliseconds maxIdleMargin { 1'000 };
    /** Part of a short advertised time that is left unused. */
    constexpr int idleMarginPart = 4;
    /** Longest advertised time that is used. */
    constexpr std::chrono::milliseconds maxIdleTime { 300'000 };
    /** Descriptors for log files, listeners, the log service and other routers. */
    constexpr std::size_t reservedDescriptors = 200;
    /** Callers' connections get up to a half of the other descriptors, idle connections to backend servers a quarter.
     */
    constexpr std::size_t callersPart = 2;
    constexpr std::size_t idlePart = 4;

} // namespace

std::optional<std::chrono::seconds> advertisedIdleTime(std::string_view keepAlive)
{
    constexpr std::string_view mark = "timeout=";
    const auto place = keepAlive.find(mark);
    if (place == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = keepAlive.substr(place + mark.size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return error == std::errc {} && seconds >= 0 ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

std::chrono::milliseconds idleLimitFor(std::optional<std::chrono::seconds> advertised, const StreamLimits& limits)
{
    if (!advertised) {
        return limits.backendIdleTime;
    }
    const std::chrono::milliseconds time = std::min<std::chrono::milliseconds>(*advertised, maxIdleTime);
    return time - std::min(time / idleMarginPart, maxIdleMargin);
}

std::size_t descriptorLimit()
{
    rlimit limit {};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return known ? static_cast<std::size_t>(limit.rlim_cur) : reservedDescriptors;
}

void limitByDescriptors(StreamLimits& limits, std::size_t descriptors)
{
    const std::size_t available = descriptors - std::min(descriptors, reservedDescriptors);
    limits.connections = std::min(limits.connections, available / callersPart);
    limits.idleBackends = std::min(limits.idleBackends, available / idlePart);
}

} // namespace swiftlift::transport::internal
