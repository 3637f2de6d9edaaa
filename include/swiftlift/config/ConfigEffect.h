#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::config {

enum class RejectReason : std::uint8_t {
    /** The document has findings. */
    Invalid,
    /** Another publish came first: `replaces` is not the revision in force. */
    Overtaken,
    /** The document is about another service than the record. */
    WrongService,
    /** Not a record of this stream. */
    Unreadable,
};

// What a record of the stream `config` did.
struct Accepted {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
};
/** Nothing changed. An overtaken author learns by whom. */
struct Rejected {
    ServiceName service;
    Offset offset;
    std::string author;
    std::uint64_t id = 0;
    RejectReason reason = RejectReason::Invalid;
    /** Nothing: the service never was. */
    std::optional<Offset> currentRevision;
    std::string currentAuthor;
    Findings findings;
};
struct Withdrawn {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
};
/** An append made again after a lost answer: it did its work the first time, at `revision`. */
struct Repeated {
    ServiceName service;
    Offset offset;
    Offset revision;
    std::uint64_t id = 0;
};
/** A snapshot was passed; `agrees` is false when this fold's own state as of then is another one. */
struct SnapshotPassed {
    Offset offset;
    bool agrees = true;
};
/** The state was taken from a snapshot; the stream has to be read on from `from`. */
struct Restored {
    Offset from;
};

using ConfigEffect = std::variant<Accepted, Rejected, Withdrawn, Repeated, SnapshotPassed, Restored>;

} // namespace swiftlift::config
