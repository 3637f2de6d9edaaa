#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/settings/Endpoint.h"

namespace swiftlift::settings {

/** Settings of `swiftliftctl`; see docs/SETTINGS.md. */
struct CtlSettings {
    /** Name under which changes are published, for whoever loses a race. */
    std::string author = "operator";
    /** The platform's log, in the order in which they are tried. */
    std::vector<Endpoint> logEndpoints;
    /** How long one call of the log may take. */
    Duration logTimeout = std::chrono::seconds(2);
    /** How long a change is repeated and read back before its outcome is called unknown. */
    Duration logPatience = std::chrono::seconds(10);
    /** Number of streams `ledger-0` and up; the same as the routers'. */
    std::uint32_t ledgerShards = 1;
    /** `operators.listen` of the routers. */
    std::vector<Endpoint> routers;
    /** How long one router's answer may take. */
    Duration routerTimeout = std::chrono::seconds(1);
};

/**
 * @brief Reads and checks the settings of `swiftliftctl`. Never throws, whatever the file holds.
 * @param file Path of the YAML file.
 * @param findings Takes all that is wrong, each with line and column.
 * @return The settings; nothing when anything was found.
 */
[[nodiscard]] std::optional<CtlSettings> readCtlSettings(const std::string& file, Findings& findings);

/** @brief As readCtlSettings(), of a text in memory. */
[[nodiscard]] std::optional<CtlSettings> parseCtlSettings(
    std::string_view text, const std::string& source, Findings& findings);

} // namespace swiftlift::settings
