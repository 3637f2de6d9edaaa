#include "swiftlift/base/Finding.h"

namespace swiftlift {

std::string toText(const Finding& finding)
{
    std::string text = finding.source;
    if (finding.line > 0) {
        text += ':' + std::to_string(finding.line) + ':' + std::to_string(finding.column);
    }
    return text + ": " + finding.message;
}

std::string toText(const Findings& findings)
{
    std::string text;
    for (const Finding& finding : findings) {
        text += (text.empty() ? "" : "; ") + toText(finding);
    }
    return text;
}

} // namespace swiftlift
