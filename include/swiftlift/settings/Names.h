#pragma once

#include <string_view>

namespace swiftlift::settings {

/**
 * @return Whether this can name a client account, budget, service, model, failure domain or region: 1 to 64 letters,
 * digits, dots, dashes and underscores, the first one a letter or digit.
 */
[[nodiscard]] bool isName(std::string_view text) noexcept;

} // namespace swiftlift::settings
