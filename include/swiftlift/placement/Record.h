#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::placement {

/** Version of the fold's rules. A reader that meets a later version stops rather than guess. */
inline constexpr std::uint32_t rulesVersion = 1;

/** Claims or renews the order lease of a failure domain. */
struct Claim {
    Incarnation holder;
    /** Offset of the claim it takes over or renews, plus one; 0 when there was none. */
    std::uint64_t replaces = 0;
    /** Of a renewal: the tenure's fencing number. 0 begins a tenure. */
    std::uint64_t fencing = 0;
    /** Numbers the holder's appends, so that it knows which of them was read back. */
    std::uint64_t sequence = 0;

    [[nodiscard]] bool operator==(const Claim&) const = default;
};

/** Requests found no engine with these models. */
struct Need {
    std::vector<std::string> models;

    [[nodiscard]] bool operator==(const Need&) const = default;
};

/** A record that can't be read by anybody: all readers skip it alike. */
struct Unreadable { };

/** A record of later rules than this program's. */
struct LaterRules { };

using Record = std::variant<Claim, Need, Unreadable, LaterRules>;

/** @return Name of the stream that holds the order lease of `domain`. */
[[nodiscard]] StreamName ordersStream(const FailureDomain& domain);

[[nodiscard]] std::string encode(const Claim& claim);
[[nodiscard]] std::string encode(const Need& need);
[[nodiscard]] Record decode(const std::string& bytes);

} // namespace swiftlift::placement
