#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftlift::transport {

/** One whole event of a `text/event-stream`. */
struct StreamEvent {
    /** As it came, with the empty line that ends it. */
    std::string bytes;
    /** Nothing: it has none, or none that is a number. */
    std::optional<std::uint64_t> id;
};

/**
 * @brief Cuts a `text/event-stream` into whole events.
 *
 * What goes wrong without it: an engine dies in the middle of an event, the half is passed on, and what another engine
 * goes on with is read as its other half. So only whole events leave here.
 */
class EventSplitter {
public:
    /** @param maxBytes Of one event. */
    explicit EventSplitter(std::size_t maxBytes);

    void add(std::string_view bytes) { waiting_ += bytes; }

    /** @return The next whole event; nothing until more bytes come. */
    [[nodiscard]] std::optional<StreamEvent> next();

    /** @return Whether part of an event is left over. */
    [[nodiscard]] bool partial() const noexcept { return taken_ < waiting_.size(); }

    /** @return Whether an event is larger than any may be. */
    [[nodiscard]] bool tooLarge() const noexcept { return waiting_.size() - taken_ > maxBytes_; }

private:
    std::size_t maxBytes_;
    std::string waiting_;
    std::size_t taken_ = 0;
};

} // namespace swiftlift::transport
