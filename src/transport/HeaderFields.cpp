#include "swiftlift/transport/HeaderFields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>

namespace swiftlift::transport {

namespace {

    /** Hop-by-hop fields of RFC 9110, section 7.6.1, and the body's framing, which an intermediary sets itself. */
    constexpr std::array<std::string_view, 11> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
        "Content-Length" };

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        const auto last = text.find_last_not_of(" \t");
        return first == std::string_view::npos ? std::string_view {} : text.substr(first, last - first + 1);
    }

    /** @return Whether the comma-separated list contains the name. */
    bool listContains(std::string_view list, std::string_view name)
    {
        while (!list.empty()) {
            const auto comma = list.find(',');
            if (sameName(trimmed(list.substr(0, comma)), name)) {
                return true;
            }
            list = comma == std::string_view::npos ? std::string_view {} : list.substr(comma + 1);
        }
        return false;
    }

} // namespace

bool sameName(std::string_view left, std::string_view right) noexcept
{
    return std::ranges::equal(
        left, right, [](unsigned char one, unsigned char other) { return std::tolower(one) == std::tolower(other); });
}

std::optional<std::string_view> valueOf(const HeaderFields& fields, std::string_view name) noexcept
{
    const auto found
        = std::ranges::find_if(fields, [&](const HeaderField& field) { return sameName(field.name, name); });
    return found == fields.end() ? std::nullopt : std::optional<std::string_view>(found->value);
}

std::size_t countOf(const HeaderFields& fields, std::string_view name) noexcept
{
    return static_cast<std::size_t>(
        std::ranges::count_if(fields, [&](const HeaderField& field) { return sameName(field.name, name); }));
}

bool isVisibleText(std::string_view text) noexcept
{
    constexpr char firstVisible = '!';
    constexpr char lastVisible = '~';
    return !text.empty() && std::ranges::all_of(text, [](char character) {
        return character >= firstVisible && character <= lastVisible;
    });
}

HeaderFields endToEnd(const HeaderFields& fields)
{
    const std::string_view named = valueOf(fields, "Connection").value_or(std::string_view {});
    HeaderFields kept;
    std::ranges::copy_if(fields, std::back_inserter(kept), [&](const HeaderField& field) {
        const bool listed
            = std::ranges::any_of(hopByHopFields, [&](std::string_view name) { return sameName(name, field.name); });
        return !listed && !listContains(named, field.name);
    });
    return kept;
}

} // namespace swiftlift::transport
