#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace swiftlift::scenario {

/** @return The lines of a log of JSON lines that are of one kind, in order; what is no such line is passed over. */
[[nodiscard]] std::vector<nlohmann::json> linesOfKind(const std::string& log, const std::string& kind);

} // namespace swiftlift::scenario
