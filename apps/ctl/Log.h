#pragma once

#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::ctl {

/** Records of a stream, in order from `first`. */
struct ReadRecords {
    Offset first;
    std::vector<std::string> records;
    /** Offset that the next record will get. */
    Offset end;
};
/** The offset asked for is no longer kept. */
struct ReadExpired {
    Offset oldest;
};
/** No endpoint of the log gave an answer. */
struct ReadFailed {
    std::string reason;
};

using ReadAnswer = std::variant<ReadRecords, ReadExpired, ReadFailed>;

/** The platform's log, see docs/PROTOCOLS.md section 4. */
class Log {
public:
    Log() = default;
    virtual ~Log() = default;
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /** @return Whether the log answered that it took the record; otherwise it may have taken it all the same. */
    [[nodiscard]] virtual bool append(const StreamName& stream, const std::string& record) = 0;

    /** @param wait How long to wait for a record when there is none. */
    [[nodiscard]] virtual ReadAnswer read(const StreamName& stream, Offset from, Duration wait) = 0;

    /** @return Why the last append had no good answer. */
    [[nodiscard]] virtual const std::string& lastReason() const noexcept = 0;
};

} // namespace swiftlift::ctl
