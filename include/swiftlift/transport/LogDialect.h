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

/** What a read of a stream brought. */
struct LogRead {
    /** In order, from the offset that was asked for. */
    std::vector<std::string> records;
    /** Offset that the next record will have. */
    Offset end;
};
/** The records asked for have expired. */
struct LogGone {
    Offset oldest;
};
/** All keys of a stream, or as many as fit one answer. */
struct NewestRead {
    std::vector<node::KeyedRecord> records;
    Offset end;
    /** There are more keys, after `lastKey`. */
    bool more = false;
    std::string lastKey = {};
    std::vector<node::UnreadableRecord> unreadable = {};
};
/** No answer that means anything. */
struct LogProblem {
    std::string detail;
};

/** What is asked for by a read. */
struct LogPosition {
    StreamName stream;
    Offset from;
    /** How long the log may hold an empty answer back. */
    std::chrono::milliseconds wait { 0 };
    std::uint32_t maxRecords = 500;
};

/** How a log service is spoken to: its paths, its bodies, its refusals. Translates and decides nothing. */
class LogDialect {
public:
    LogDialect() = default;
    virtual ~LogDialect() = default;
    LogDialect(const LogDialect&) = delete;
    LogDialect& operator=(const LogDialect&) = delete;

    [[nodiscard]] virtual HttpRequest append(const node::Append& append) const = 0;
    /** @return Why the append did not take effect, or may not have; nothing: it did. */
    [[nodiscard]] virtual std::optional<LogProblem> appendProblem(const HttpResponse& answer) const = 0;

    [[nodiscard]] virtual HttpRequest read(const LogPosition& position) const = 0;
    [[nodiscard]] virtual std::variant<LogRead, LogGone, LogProblem> readAnswer(
        const HttpResponse& answer, Offset from) const = 0;

    /** @param after The last key read so far; empty: from the first one on. */
    [[nodiscard]] virtual HttpRequest newest(const StreamName& stream, const std::string& after) const = 0;
    [[nodiscard]] virtual std::variant<NewestRead, LogProblem> newestAnswer(const HttpResponse& answer) const = 0;
    /** @return A keyed stream's record, taken apart; nothing when it can't be. */
    [[nodiscard]] virtual std::optional<node::KeyedRecord> keyedRecord(
        Offset offset, const std::string& record) const = 0;
};

} // namespace swiftlift::transport
