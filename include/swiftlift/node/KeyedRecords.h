#pragma once

#include <optional>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::node {

/** A record of a keyed stream: the log retains the newest record of each key without expiry. */
struct KeyedRecord {
    Offset offset;
    std::string key;
    /** std::nullopt: the key was removed. */
    std::optional<std::string> value;

    [[nodiscard]] bool operator==(const KeyedRecord&) const = default;
};

/** A record of a keyed stream that can't be decoded. It neither changes nor removes what its key held before. */
struct UnreadableRecord {
    /** Empty when the key can't be decoded either. */
    std::string key;
    /** Why the record can't be decoded. */
    std::string reason;

    [[nodiscard]] bool operator==(const UnreadableRecord&) const = default;
};

/** Records of a keyed stream, in order of their offsets. */
struct KeyedRecords {
    StreamName stream;
    std::vector<KeyedRecord> records;
    /** True when `records` has every key of the stream; false when it has only changes. */
    bool whole = false;
    std::vector<UnreadableRecord> unreadable = {};
    /** Offset after the last record that was read; a list of all keys includes at least every record below it. */
    Offset next = {};
    /** When the log answered, at the latest; nullopt: not known, the moment at which this is handled counts. */
    std::optional<Instant> readAt = {};
    /** False if the log had further records when it answered: these are not the newest state of the stream. */
    bool reachesEnd = true;
};

} // namespace swiftlift::node
