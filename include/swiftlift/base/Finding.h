#pragma once

#include <string>
#include <vector>

namespace swiftlift {

/** Something wrong with an input, and where. Findings are collected and reported together. */
struct Finding {
    /** File name, or the name of the document. */
    std::string source;
    /** From 1; 0 when the place is the whole input. */
    int line = 0;
    /** From 1; 0 when the place is the whole input. */
    int column = 0;
    std::string message;
};

using Findings = std::vector<Finding>;

/**
 * @param finding What was found.
 * @return `source:line:column: message`, without the parts that are not known.
 */
[[nodiscard]] std::string toText(const Finding& finding);

/** @return All of them in one line. */
[[nodiscard]] std::string toText(const Findings& findings);

} // namespace swiftlift
