#pragma once

#include <string_view>

namespace swiftlift::settings {

/**
 * @brief Checks a name of a client account, budget, service, model, failure domain or region.
 * @param text Name to check.
 * @return Whether the text has 1 to 64 letters, digits, dots, dashes and underscores, and starts with a letter or
 * digit.
 */
[[nodiscard]] bool isName(std::string_view text) noexcept;

} // namespace swiftlift::settings
