#pragma once

#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace swiftlift::scenario {

/** @return The lines of a log of JSON lines that are of one of these kinds, in order; others are passed over. */
[[nodiscard]] std::vector<nlohmann::json> linesOfKinds(const std::string& log, const std::set<std::string>& kinds);

} // namespace swiftlift::scenario
