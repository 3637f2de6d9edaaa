#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Units.h"
#include "transport/CallerConnection.h"

namespace swiftlift::transport::internal {

// The project's own protocol towards callers, over a connection.

/** Writes a whole answer of JSON; the request is over. */
void replyJson(CallerConnection& caller, int status, std::string body, std::optional<Duration> retryAfter);

/** Writes one line of a streamed answer; the first one is preceded by the status line. */
void streamLine(CallerConnection& caller, std::string_view line);

/** Writes the last line of a streamed answer; the request is over. */
void endStream(CallerConnection& caller, std::string_view line);

} // namespace swiftlift::transport::internal
