#include "transport/JsonCaller.h"

#include <utility>

#include "transport/HttpText.h"

namespace swiftlift::transport::internal {

void replyJson(CallerConnection& caller, int status, std::string body, std::optional<Duration> retryAfter)
{
    caller.reply(jsonReply(status, std::move(body), caller.keepAlive(), retryAfter));
}

void streamLine(CallerConnection& caller, std::string_view line)
{
    std::string bytes;
    if (!caller.streamBegun()) {
        caller.beginStream();
        bytes = streamHead(caller.chunked(), caller.keepAlive());
    }
    bytes += caller.chunked() ? chunk(line) : std::string(line);
    caller.stream(bytes);
}

void endStream(CallerConnection& caller, std::string_view line)
{
    streamLine(caller, line);
    if (caller.chunked()) {
        caller.stream(lastChunk());
    }
    caller.endStream();
}

} // namespace swiftlift::transport::internal
