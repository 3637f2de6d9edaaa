#include "LogLines.h"

#include <sstream>
#include <utility>

namespace swiftlift::scenario {

std::vector<nlohmann::json> linesOfKinds(const std::string& log, const std::set<std::string>& kinds)
{
    std::vector<nlohmann::json> found;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        nlohmann::json object = nlohmann::json::parse(line, nullptr, false);
        if (object.is_object() && kinds.contains(object.value("kind", "")))
            found.push_back(std::move(object));
    }
    return found;
}

} // namespace swiftlift::scenario
