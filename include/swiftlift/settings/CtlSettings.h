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
    /** Author recorded with published changes; shown to an operator whose concurrent change is rejected. */
    std::string author = "operator";
    /** Endpoints of the platform's log, in the order in which they are tried. */
    std::vector<Endpoint> logEndpoints;
    /** Timeout of one call to the platform's log. */
    Duration logTimeout = std::chrono::seconds(2);
    /** How long a change is retried and read back before its outcome is reported as unknown. */
    Duration logPatience = std::chrono::seconds(10);
    /** Number of ledger shards, that is, of streams `ledger-0` and up; has to be equal to that of the routers. */
    std::uint32_t ledgerShards = 1;
    /** Endpoints that the routers serve to operators (the routers' setting `operators.listen`). */
    std::vector<Endpoint> routers;
    /** Timeout of one request to a router. */
    Duration routerTimeout = std::chrono::seconds(1);
};

/**
 * @brief Reads and checks the settings of `swiftliftctl`. Never throws, whatever the content of the file.
 * @param file Path of the YAML file.
 * @param findings Receives a finding with line and column for each error.
 * @return The settings; empty if the file has errors.
 */
[[nodiscard]] std::optional<CtlSettings> readCtlSettings(const std::string& file, Findings& findings);

/**
 * @brief Parses and checks the settings of `swiftliftctl`. Never throws, whatever the text.
 * @param text The whole YAML document.
 * @param source Name of the document, for the findings.
 * @param findings Receives a finding with line and column for each error.
 * @return The settings; empty if the text has errors.
 */
[[nodiscard]] std::optional<CtlSettings> parseCtlSettings(
    std::string_view text, const std::string& source, Findings& findings);

} // namespace swiftlift::settings
