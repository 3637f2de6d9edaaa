#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::placement {

/** Version of the fold's rules. A reader that finds a record of a later version issues no more orders. */
inline constexpr std::uint32_t rulesVersion = 1;

/** Claims or renews the order lease of a failure domain. */
struct Claim {
    Incarnation holder;
    /** Offset of the claim that this claim supersedes or renews, plus one; 0 when there was none. */
    std::uint64_t replaces = 0;
    /** In a renewal, the fencing number of the lease term; 0 in a claim that begins a lease term. */
    std::uint64_t fencing = 0;
    /** Sequence number of the holder's appends, by which the holder recognises its records when reading them back. */
    std::uint64_t sequence = 0;

    [[nodiscard]] bool operator==(const Claim&) const = default;
};

/** Names models for which requests found no engine. */
struct Need {
    std::vector<std::string> models;

    [[nodiscard]] bool operator==(const Need&) const = default;
};

/** A record that can't be parsed. All readers skip such records. */
struct Unreadable { };

/** A record whose rules version is later than `rulesVersion`. */
struct LaterRules { };

using Record = std::variant<Claim, Need, Unreadable, LaterRules>;

/** @return Name of the stream that holds the order lease of `domain`. */
[[nodiscard]] StreamName ordersStream(const FailureDomain& domain);

/** @return The serialised record, with `rulesVersion`. */
[[nodiscard]] std::string encode(const Claim& claim);
/** @return The serialised record, with `rulesVersion`. */
[[nodiscard]] std::string encode(const Need& need);
/** @return The parsed record; `Unreadable` or `LaterRules` when it can't be applied. */
[[nodiscard]] Record decode(const std::string& bytes);

} // namespace swiftlift::placement
