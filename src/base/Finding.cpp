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

} // namespace swiftlift
