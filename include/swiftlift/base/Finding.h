#pragma once

#include <string>
#include <vector>

namespace swiftlift {

/** An error in an input file or document, with its position. All findings of one input are reported together. */
struct Finding {
    /** Name of the file or document. */
    std::string source;
    /** Line number, from 1; 0 if the finding concerns the whole input. */
    int line = 0;
    /** Column number, from 1; 0 if the finding concerns the whole input. */
    int column = 0;
    std::string message;
};

using Findings = std::vector<Finding>;

/**
 * @brief Formats a finding for a log line or a terminal.
 * @param finding Finding to format.
 * @return `source:line:column: message`, or `source: message` if the finding concerns the whole input.
 */
[[nodiscard]] std::string toText(const Finding& finding);

/**
 * @brief Formats several findings for one log line.
 * @param findings Findings to format.
 * @return The texts of all findings in one line, separated by `; `; empty if there are no findings.
 */
[[nodiscard]] std::string toText(const Findings& findings);

} // namespace swiftlift
