#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::quarantine {

/** A request as it is recognised when it comes again: who asks, and what for. */
struct Fingerprint {
    AccountId account;
    ContentDigest content;

    [[nodiscard]] auto operator<=>(const Fingerprint&) const = default;
};

/** One life of a backend server, from its start to its end. */
struct BackendInstance {
    BackendId server;
    /** As it registered; 0 where each life has an id of its own. */
    std::uint64_t startedAt = 0;

    [[nodiscard]] auto operator<=>(const BackendInstance&) const = default;
};

/** Names a report for good. */
struct ReportId {
    Incarnation reporter;
    /** The reporter's count of its reports, from 1. */
    std::uint64_t number = 0;

    [[nodiscard]] auto operator<=>(const ReportId&) const = default;
};

/** One router's word on requests. Never changed once it is written, so repeats of it are harmless. */
struct Report {
    ReportId id;
    std::vector<Fingerprint> requests;
    /** The requests were lost with it; nothing: they were answered, and earlier reports on them hold no more. */
    std::optional<BackendInstance> failedInstance;
};

/** @return The report's key in its keyed stream. */
[[nodiscard]] std::string keyOf(const ReportId& id);
/** @return The id that the key names; nothing when it names none. */
[[nodiscard]] std::optional<ReportId> idOf(std::string_view key);

[[nodiscard]] std::string encode(const Report& report);
/** @return The report; nothing when it can't be read or names no router. */
[[nodiscard]] std::optional<Report> decode(std::string_view record);

} // namespace swiftlift::quarantine
