#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Units.h"
#include "transport/CallerConnection.h"

namespace swiftlift::transport::internal {

// Answers in the project's own protocol, written to a caller's connection.

/** Writes a complete JSON answer and ends the request. */
void replyJson(CallerConnection& caller, int status, std::string body, std::optional<Duration> retryAfter);

/** Writes one line of a streamed answer; the first line follows the answer's head. */
void streamLine(CallerConnection& caller, std::string_view line);

/** Writes the last line of a streamed answer and ends the request. */
void endStream(CallerConnection& caller, std::string_view line);

} // namespace swiftlift::transport::internal
