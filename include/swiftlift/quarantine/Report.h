#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Ids.h"

namespace swiftlift::quarantine {

/** @brief Identifies a request and its retries: the client account and a digest of the content. */
struct Fingerprint {
    AccountId account;
    ContentDigest content;

    [[nodiscard]] auto operator<=>(const Fingerprint&) const = default;
};

/** @brief Identifies a part of a prompt that several requests to one service may share. */
struct PromptPart {
    /** Hash of the service's name. */
    std::uint64_t service = 0;
    /** The part's id. */
    std::uint64_t hash = 0;

    [[nodiscard]] auto operator<=>(const PromptPart&) const = default;
};

/** @brief One run of a backend server, from its start to its end. */
struct BackendInstance {
    BackendId server;
    /** Start time that the server registered; 0 where every instance has a server id of its own. */
    std::uint64_t startedAt = 0;

    [[nodiscard]] auto operator<=>(const BackendInstance&) const = default;
};

/** @brief Identifies a report uniquely among the reports of all routers. */
struct ReportId {
    Incarnation reporter;
    /** Number that the reporter gave the report, counting from 1. */
    std::uint64_t number = 0;

    [[nodiscard]] auto operator<=>(const ReportId&) const = default;
};

/**
 * @brief States that requests were lost with a backend server instance, or that a request was answered.
 *
 * A report is not changed after it was written to the log, so writing or reading it several times is harmless.
 */
struct Report {
    ReportId id;
    std::vector<Fingerprint> requests;
    /** The instance with which the requests were lost; nothing if the requests were answered, which makes earlier loss
     * reports about them void. */
    std::optional<BackendInstance> failedInstance;
    /** Parts that the prompts of these requests share with others. */
    std::vector<PromptPart> parts {};
    /** Requests with these parts must be sent to no backend server; without a failed instance. */
    bool heldBack = false;
};

/** @return The report's key in the keyed stream of reports. */
[[nodiscard]] std::string keyOf(const ReportId& id);
/** @return The report id that the key stands for; nothing if the key is malformed. */
[[nodiscard]] std::optional<ReportId> idOf(std::string_view key);

/** @return The serialized report. */
[[nodiscard]] std::string encode(const Report& report);
/** @return The report; nothing if the record is malformed or names no reporter. */
[[nodiscard]] std::optional<Report> decode(std::string_view record);

} // namespace swiftlift::quarantine
