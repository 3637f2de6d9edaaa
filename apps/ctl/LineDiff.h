#pragma once

#include <string>
#include <string_view>

namespace swiftlift::ctl {

/**
 * @brief Compares two texts line by line.
 * @return The lines that differ, each with its line number: `-` for lines only in `before`, `+` for lines only in
 * `after`. Empty if the texts are equal.
 */
[[nodiscard]] std::string lineDiff(std::string_view before, std::string_view after);

} // namespace swiftlift::ctl
