#pragma once

#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::node {

/** A record of a stream of which the log keeps the newest record of each key for good. */
struct KeyedRecord {
    Offset offset;
    std::string key;
    /** Nothing: the key was dropped. */
    std::optional<std::string> value;

    [[nodiscard]] bool operator==(const KeyedRecord&) const = default;
};

/** A record of such a stream that another writer has left there: it says nothing, and takes nothing back. */
struct UnreadableRecord {
    /** Empty: not known either. */
    std::string key;
    /** What can't be read of it. */
    std::string reason;

    [[nodiscard]] bool operator==(const UnreadableRecord&) const = default;
};

/** Records of such a stream, in order of their offsets. */
struct KeyedRecords {
    StreamName stream;
    std::vector<KeyedRecord> records;
    /** All keys that there are, and not only what changed. */
    bool whole = false;
    std::vector<UnreadableRecord> unreadable = {};
};

} // namespace swiftlift::node
