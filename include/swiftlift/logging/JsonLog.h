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

/** Severity of a log line, in ascending order. */
enum class Level : std::uint8_t { Debug, Info, Warning, Error };

/** Value of a field of a log line. */
using FieldValue = std::variant<std::string, std::int64_t, double, bool>;
/** Names and values of a log line's fields, in the order in which they are written. */
using Fields = std::vector<std::pair<std::string, FieldValue>>;

/** Settings of a log. */
struct JsonLogSettings {
    /** Path of the log file; `-` stands for standard output. */
    std::string file = "-";
    /** Lowest severity that is written. */
    Level level = Level::Info;
    /** Address at which other routers reach this VM; written on each line. */
    std::string vm;
    /** Maximum number of lines queued for the writing thread. */
    std::size_t capacity = 8192;
};

/**
 * @brief Log of one JSON object per line, each with time (UTC), level, kind, VM and incarnation. Thread-safe.
 *
 * Lines are queued for a thread of the log, which writes them. If the calling thread wrote them, a consumer of the log
 * that stops reading would block the decision thread, and its ticks would come late. Lines that find the queue full are
 * dropped and counted; the count is logged as kind `log_dropped`.
 */
class JsonLog {
public:
    /**
     * @brief Opens the log and starts its writing thread.
     * @param settings Settings of the log; isOpen() returns false if the log file can't be opened.
     */
    explicit JsonLog(JsonLogSettings settings);
    /** Writes all queued lines, then stops the writing thread. */
    ~JsonLog();
    JsonLog(const JsonLog&) = delete;
    JsonLog& operator=(const JsonLog&) = delete;

    /** @return Whether the log file could be opened; always true for standard output. */
    [[nodiscard]] bool isOpen() const noexcept;

    /**
     * @brief Sets the lowest severity that is written from now on. Thread-safe.
     * @param level Lowest severity to write.
     */
    void setLevel(Level level) noexcept;

    /**
     * @brief Sets the incarnation that is written on each line from now on.
     * @param incarnation Incarnation of this router process.
     */
    void setIncarnation(std::uint64_t incarnation) noexcept;

    /**
     * @brief Queues a line for writing, or drops the line if the queue is full. Never blocks.
     * @param level Severity; the line is left out if it is below the level of the log.
     * @param kind Name of the logged event.
     * @param fields Further fields of the line.
     */
    void write(Level level, std::string_view kind, const Fields& fields);

    /** @return Number of lines dropped since construction. */
    [[nodiscard]] std::uint64_t dropped() const noexcept;
    /** @return Number of lines written since construction, without `log_dropped` lines. */
    [[nodiscard]] std::uint64_t written() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** @return The current wall-clock time in UTC, in ISO 8601 format with microseconds. */
[[nodiscard]] std::string utcNow();

} // namespace swiftlift::logging
