#pragma once

#include <string>
#include <string_view>

namespace swiftlift::ctl {

/**
 * @return The lines that differ: `-` is only in `before`, `+` only in `after`, each with its line number; empty when
 * the texts are equal.
 */
[[nodiscard]] std::string lineDiff(std::string_view before, std::string_view after);

} // namespace swiftlift::ctl
