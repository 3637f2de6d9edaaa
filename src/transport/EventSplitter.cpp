#include "swiftlift/transport/EventSplitter.h"

#include "swiftlift/base/Numbers.h"

#include <algorithm>

namespace swiftlift::transport {

namespace {

    std::optional<std::uint64_t> idOf(std::string_view event)
    {
        constexpr std::string_view mark = "id:";
        while (!event.empty()) {
            const auto end = event.find_first_of("\r\n");
            std::string_view line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view {} : event.substr(end + 1);
            if (!line.starts_with(mark)) {
                continue;
            }
            line.remove_prefix(mark.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            return parseWhole<std::uint64_t>(line);
        }
        return std::nullopt;
    }

    /** @return Where the empty line after an event ends; npos while it has not come. */
    std::size_t endOfEvent(const std::string& text, std::size_t from)
    {
        constexpr std::string_view plain = "\n\n";
        constexpr std::string_view withReturns = "\r\n\r\n";
        const auto first = text.find(plain, from);
        const auto second = text.find(withReturns, from);
        if (first == std::string::npos && second == std::string::npos) {
            return std::string::npos;
        }
        return first < second ? first + plain.size() : second + withReturns.size();
    }

} // namespace

EventSplitter::EventSplitter(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

std::optional<StreamEvent> EventSplitter::next()
{
    const auto end = endOfEvent(waiting_, taken_);
    if (end == std::string::npos) {
        waiting_.erase(0, taken_);
        taken_ = 0;
        return std::nullopt;
    }
    StreamEvent event { waiting_.substr(taken_, end - taken_), std::nullopt };
    event.id = idOf(event.bytes);
    taken_ = end;
    return event;
}

} // namespace swiftlift::transport
