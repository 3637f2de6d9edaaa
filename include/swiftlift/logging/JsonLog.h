#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace swiftlift::logging {

enum class Level : std::uint8_t { Debug, Info, Warning, Error };

using FieldValue = std::variant<std::string, std::int64_t, double, bool>;
using Fields = std::vector<std::pair<std::string, FieldValue>>;

struct JsonLogSettings {
    /** `-`: standard output. */
    std::string file = "-";
    Level level = Level::Info;
    /** Where this VM's peers reach it; on each line. */
    std::string vm;
    /** Lines that may wait for a slow consumer. */
    std::size_t capacity = 8192;
};

/**
 * @brief The log: one JSON object a line, with time (UTC), level, kind, VM and incarnation. Any thread may write.
 *
 * What goes wrong without the ring: whoever reads the log stops reading, and the write call blocks the decision thread.
 * It shows as ticks that come late. So lines are handed to a thread of the log's own; what finds the ring full is
 * dropped, counted, and the count logged as kind `log_dropped`.
 */
class JsonLog {
public:
    explicit JsonLog(JsonLogSettings settings);
    /** Writes what has been handed over, then ends. */
    ~JsonLog();
    JsonLog(const JsonLog&) = delete;
    JsonLog& operator=(const JsonLog&) = delete;

    /** @return Whether the log can be written to. */
    [[nodiscard]] bool isOpen() const noexcept;

    /** Lines below this level are left out from now on. For any thread. */
    void setLevel(Level level) noexcept;

    /** Goes on each line from now on. */
    void setIncarnation(std::uint64_t incarnation) noexcept;

    /** Never blocks. */
    void write(Level level, std::string_view kind, const Fields& fields);

    [[nodiscard]] std::uint64_t dropped() const noexcept;
    [[nodiscard]] std::uint64_t written() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** @return The moment of the wall clock in ISO 8601, UTC, with microseconds. */
[[nodiscard]] std::string utcNow();

} // namespace swiftlift::logging
