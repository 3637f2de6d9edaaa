#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Ids.h"

namespace swiftlift::config {

/** @brief Why a record of the stream `config` had no effect on the configuration. */
enum class RejectReason : std::uint8_t {
    /** The document has errors, or a withdrawal names a service that is not in force. */
    Invalid,
    /** Another publish was appended first: `replaces` is not the service's last revision. */
    Overtaken,
    /** The document describes another service than the one named in the record. */
    WrongService,
    /** Not a readable record of this stream, or a snapshot of a state later than its own offset. */
    Unreadable,
};

/** @brief A published document was accepted as the service's new revision. */
struct Accepted {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
};
/**
 * @brief A record was rejected and changed nothing. For `Overtaken`, `currentAuthor` published the revision that came
 * first.
 */
struct Rejected {
    ServiceName service;
    Offset offset;
    std::string author;
    std::uint64_t id = 0;
    RejectReason reason = RejectReason::Invalid;
    /** Empty when the service has never existed. */
    std::optional<Offset> currentRevision;
    std::string currentAuthor;
    Findings findings;
};
/** @brief A service was withdrawn. */
struct Withdrawn {
    ServiceName service;
    Offset revision;
    std::string author;
    std::uint64_t id = 0;
};
/** @brief A duplicate of a record that took effect at `revision`, appended by a retry after a lost answer. */
struct Repeated {
    ServiceName service;
    Offset offset;
    Offset revision;
    std::uint64_t id = 0;
};
/** @brief A snapshot was read; `agrees` is false when this fold had another state at the snapshot's `as_of`. */
struct SnapshotPassed {
    Offset offset;
    bool agrees = true;
};
/** @brief The state was restored from a snapshot or caught up from a peer; reading continues at `from`. */
struct Restored {
    Offset from;
};

/** @brief Effect of one record of the stream `config`. */
using ConfigEffect = std::variant<Accepted, Rejected, Withdrawn, Repeated, SnapshotPassed, Restored>;

} // namespace swiftlift::config
