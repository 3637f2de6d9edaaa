#pragma once

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "swiftlift/base/Finding.h"

namespace swiftlift::ctl {

/** Exit status of the command. */
enum class ExitCode : int {
    Ok = 0,
    /** The rules refused the change, or there is no such thing. */
    Refused = 1,
    /** Wrong command line, settings or document. */
    Usage = 2,
    /** The platform or all routers can't be reached, or the outcome of a change is not known. */
    Unreachable = 3,
};

/** What a command has to say: to people, and to programs. */
struct Report {
    ExitCode code = ExitCode::Ok;
    std::string text;
    nlohmann::json json;
};

/** @return A report of something that failed before anything was changed. */
[[nodiscard]] inline Report failure(ExitCode code, const std::string& outcome, const std::string& reason)
{
    return { code, reason + '\n', { { "outcome", outcome }, { "reason", reason } } };
}

/** @return A report of findings, one a line. */
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
