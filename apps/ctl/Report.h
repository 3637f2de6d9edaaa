#pragma once

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "swiftlift/base/Finding.h"

namespace swiftlift::ctl {

/** Exit status of the command. */
enum class ExitCode : int {
    Ok = 0,
    /** The change was refused by the rules, or the named object does not exist. */
    Refused = 1,
    /** Invalid command line, settings or document. */
    Usage = 2,
    /** The platform or all routers can't be reached, or the outcome of a change is not known. */
    Unreachable = 3,
};

/** Result of a command: its exit code, its text for people and its JSON for programs. */
struct Report {
    ExitCode code = ExitCode::Ok;
    std::string text;
    nlohmann::json json;
};

/** @return The report of a command that failed before it changed anything. */
[[nodiscard]] inline Report failure(ExitCode code, const std::string& outcome, const std::string& reason)
{
    return { code, reason + '\n', { { "outcome", outcome }, { "reason", reason } } };
}

/** @return The report of a list of findings, one a line. */
[[nodiscard]] inline Report findingsReport(const Findings& findings)
{
    Report report { ExitCode::Usage, {}, { { "outcome", "findings" }, { "findings", nlohmann::json::array() } } };
    for (const auto& finding : findings) {
        report.text += toText(finding) + '\n';
        report.json["findings"].push_back({ { "source", finding.source }, { "line", finding.line },
            { "column", finding.column }, { "message", finding.message } });
    }
    return report;
}

} // namespace swiftlift::ctl
