#include "swiftlift/transport/EventSplitter.h"

#include "swiftlift/base/Numbers.h"

#include <algorithm>

namespace swiftlift::transport {

namespace {

    std::optional<std::uint64_t> parseEventId(std::string_view event)
    {
        constexpr std::string_view fieldPrefix = "id:";
        while (!event.empty()) {
            const auto end = event.find_first_of("\r\n");
            std::string_view line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view {} : event.substr(end + 1);
            if (!line.starts_with(fieldPrefix)) {
                continue;
            }
            line.remove_prefix(fieldPrefix.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            return parseWhole<std::uint64_t>(line);
        }
        return std::nullopt;
    }

    /** @return Position after the empty line that ends the event; npos if that line has not been received. */
    std::size_t endOfEvent(const std::string& text, std::size_t from)
    {
        constexpr std::string_view emptyLineLf = "\n\n";
        constexpr std::string_view emptyLineCrLf = "\r\n\r\n";
        const auto first = text.find(emptyLineLf, from);
        const auto second = text.find(emptyLineCrLf, from);
        if (first == std::string::npos && second == std::string::npos) {
            return std::string::npos;
        }
        return first < second ? first + emptyLineLf.size() : second + emptyLineCrLf.size();
    }

} // namespace

EventSplitter::EventSplitter(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

std::optional<StreamEvent> EventSplitter::next()
{
    const auto end = endOfEvent(buffer_, consumed_);
    if (end == std::string::npos) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        return std::nullopt;
    }
    StreamEvent event { buffer_.substr(consumed_, end - consumed_), std::nullopt };
    event.id = parseEventId(event.bytes);
    consumed_ = end;
    return event;
}

} // namespace swiftlift::transport
