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
/** The log no longer retains the requested offset. */
struct ReadExpired {
    /** Oldest offset that the log retains. */
    Offset oldest;
};
/** No endpoint of the log gave a valid answer. */
struct ReadFailed {
    std::string reason;
};

using ReadAnswer = std::variant<ReadRecords, ReadExpired, ReadFailed>;

/** Client of the platform's log, see docs/PROTOCOLS.md section 4. */
class Log {
public:
    Log() = default;
    virtual ~Log() = default;
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /** @return True if the log acknowledged the record; otherwise the record may still have been appended. */
    [[nodiscard]] virtual bool append(const StreamName& stream, const std::string& record) = 0;

    /** @param wait How long the log waits for a record if there is none at `from`. */
    [[nodiscard]] virtual ReadAnswer read(const StreamName& stream, Offset from, Duration wait) = 0;

    /** @return Why the last append was not acknowledged. */
    [[nodiscard]] virtual const std::string& lastReason() const noexcept = 0;
};

} // namespace swiftlift::ctl
