#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/node/Action.h"
#include "swiftlift/node/KeyedRecords.h"
#include "swiftlift/transport/HttpClient.h"

namespace swiftlift::transport {

/** Result of reading records from a stream. */
struct LogRead {
    /** Records in order, the first at the requested offset. */
    std::vector<std::string> records;
    /** End of the stream: the offset of the next record to be appended. */
    Offset end;
};
/** The requested records have expired. */
struct LogGone {
    /** Oldest offset that the log still holds. */
    Offset oldest;
};
/** The newest record of each key of a keyed stream, or one page of them. */
struct NewestRead {
    std::vector<node::KeyedRecord> records;
    Offset end;
    /** Whether there are further keys after `lastKey`. */
    bool more = false;
    std::string lastKey = {};
    std::vector<node::UnreadableRecord> unreadable = {};
};
/** A refusal by the log, or an answer that can't be decoded. */
struct LogProblem {
    std::string detail;
};

/** Parameters of a read. */
struct LogPosition {
    StreamName stream;
    Offset from;
    /** How long the log may wait for new records before it answers with none (long poll). */
    std::chrono::milliseconds wait { 0 };
    std::uint32_t maxRecords = 500;
};

/**
 * @brief Protocol of a log service: builds requests and decodes answers.
 *
 * Only translates; retries and other decisions are the caller's.
 */
class LogDialect {
public:
    LogDialect() = default;
    virtual ~LogDialect() = default;
    LogDialect(const LogDialect&) = delete;
    LogDialect& operator=(const LogDialect&) = delete;

    /** @return The request that appends a record. */
    [[nodiscard]] virtual HttpRequest append(const node::Append& append) const = 0;
    /** @return Why the append failed or may have failed; `nullopt` if it took effect. */
    [[nodiscard]] virtual std::optional<LogProblem> appendProblem(const HttpResponse& answer) const = 0;

    /** @return The request that reads records. */
    [[nodiscard]] virtual HttpRequest read(const LogPosition& position) const = 0;
    /** @param from The offset that was requested. */
    [[nodiscard]] virtual std::variant<LogRead, LogGone, LogProblem> readAnswer(
        const HttpResponse& answer, Offset from) const = 0;

    /**
     * @param stream A keyed stream.
     * @param after The last key of the previous page; empty for the first page.
     * @return The request that reads a page of the newest record of each key.
     */
    [[nodiscard]] virtual HttpRequest newest(const StreamName& stream, const std::string& after) const = 0;
    [[nodiscard]] virtual std::variant<NewestRead, LogProblem> newestAnswer(const HttpResponse& answer) const = 0;
    /** @return The decoded record of a keyed stream; `nullopt` if it can't be decoded. */
    [[nodiscard]] virtual std::optional<node::KeyedRecord> keyedRecord(
        Offset offset, const std::string& record) const = 0;
};

} // namespace swiftlift::transport
