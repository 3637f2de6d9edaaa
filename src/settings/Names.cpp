#include "swiftlift/settings/Names.h"

#include <algorithm>
#include <cstddef>

namespace swiftlift::settings {

namespace {

    constexpr std::size_t maxNameLength = 64;

    [[nodiscard]] bool isLetterOrDigit(char letter) noexcept
    {
        const bool isDigit = letter >= '0' && letter <= '9';
        return isDigit || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    }

} // namespace

bool isName(std::string_view text) noexcept
{
    if (text.empty() || text.size() > maxNameLength || !isLetterOrDigit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
        [](char letter) { return isLetterOrDigit(letter) || letter == '.' || letter == '_' || letter == '-'; });
}

} // namespace swiftlift::settings
