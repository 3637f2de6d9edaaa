#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace swiftlift::transport {

/** One complete event of a `text/event-stream`. */
struct StreamEvent {
    /** The event as received, with the empty line that ends it. */
    std::string bytes;
    /** The event's id; empty if it is absent or not a number. */
    std::optional<std::uint64_t> id;
};

/**
 * @brief Splits a `text/event-stream` into complete events.
 *
 * Only complete events are forwarded. If an engine crashed in the middle of an event and the partial event had been
 * forwarded, the caller would read the output of the next engine as the rest of that event.
 */
class EventSplitter {
public:
    /** @param maxBytes Maximum size of one event. */
    explicit EventSplitter(std::size_t maxBytes);

    /** Appends received bytes. */
    void add(std::string_view bytes) { buffer_ += bytes; }

    /** @return The next complete event; empty if more bytes are needed. */
    [[nodiscard]] std::optional<StreamEvent> next();

    /** @return Number of bytes that are buffered. */
    [[nodiscard]] std::size_t heldBytes() const noexcept { return buffer_.size() - consumed_; }

    /** @return Whether an incomplete event is buffered. */
    [[nodiscard]] bool partial() const noexcept { return consumed_ < buffer_.size(); }

    /** @return Whether the buffered event exceeds the maximum size. */
    [[nodiscard]] bool tooLarge() const noexcept { return buffer_.size() - consumed_ > maxBytes_; }

private:
    std::size_t maxBytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace swiftlift::transport
