#include "settings/Text.h"

#include "swiftlift/base/Numbers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <span>

#include <arpa/inet.h>

namespace swiftlift::settings::internal {

namespace {

    /** A unit of measurement. */
    struct Unit {
        std::string_view name;
        /** Value of one unit in the smallest unit: microseconds, bytes or percent. */
        std::uint64_t factor;
    };

    // In descending order; textWithUnit() depends on that order.
    constexpr std::array<Unit, 5> durationUnits { { { "h", 3'600'000'000 }, { "m", 60'000'000 }, { "s", 1'000'000 },
        { "ms", 1'000 }, { "us", 1 } } };
    constexpr std::array<Unit, 3> sizeUnits { { { "MiB", 1024UL * 1024 }, { "KiB", 1024 }, { "B", 1 } } };

    [[nodiscard]] bool isDigit(char letter) noexcept { return letter >= '0' && letter <= '9'; }

    /**
     * @return Value of a whole number followed by a unit, in the smallest unit; empty if malformed or above 2^63 - 1.
     */
    [[nodiscard]] std::optional<std::uint64_t> parseWithUnit(
        std::string_view text, std::span<const Unit> units) noexcept
    {
        const auto end = std::find_if_not(text.begin(), text.end(), isDigit);
        const auto digits = text.substr(0, static_cast<std::size_t>(end - text.begin()));
        const auto number = parseUnsigned(digits);
        const auto unitName = text.substr(digits.size());
        const auto unit
            = std::find_if(units.begin(), units.end(), [&](const Unit& each) { return each.name == unitName; });
        if (!number || unit == units.end()) {
            return std::nullopt;
        }
        constexpr auto maxValue = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (*number > maxValue / unit->factor) {
            return std::nullopt;
        }
        return *number * unit->factor;
    }

    /**
     * @return Value of a decimal number followed by a unit, rounded to the smallest unit; empty if malformed or too
     * large.
     */
    [[nodiscard]] std::optional<std::uint64_t> parseDecimalWithUnit(
        std::string_view text, std::span<const Unit> units) noexcept
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        // The first check leaves out signs, and words such as `inf` that stand for a number.
        if (text.empty() || !isDigit(text.front()) || error != std::errc {} || !isDigit(*(end - 1))) {
            return std::nullopt;
        }
        const auto unitName = text.substr(static_cast<std::size_t>(end - text.data()));
        const auto unit
            = std::find_if(units.begin(), units.end(), [&](const Unit& each) { return each.name == unitName; });
        // A power of two, so that the comparison is exact.
        constexpr double tooLarge = 0x1p62;
        if (unit == units.end() || number * static_cast<double>(unit->factor) >= tooLarge) {
            return std::nullopt;
        }
        return static_cast<std::uint64_t>(std::llround(number * static_cast<double>(unit->factor)));
    }

    [[nodiscard]] std::string textWithUnit(std::uint64_t value, std::span<const Unit> units)
    {
        const auto unit = std::find_if(
            units.begin(), units.end() - 1, [&](const Unit& each) { return value != 0 && value % each.factor == 0; });
        return std::to_string(value / unit->factor) + std::string(unit->name);
    }

    /** Properties of a UTF-8 sequence that its lead byte determines. */
    struct Sequence {
        /** Length in bytes. */
        std::size_t length;
        /** Smallest code point that needs a sequence of this length; smaller code points are overlong encodings. */
        std::uint32_t minCode;
    };

    /**
     * @return Properties of the UTF-8 sequence that starts with this byte; empty if no sequence starts with this byte.
     */
    [[nodiscard]] std::optional<Sequence> parseLeadByte(unsigned char byte) noexcept
    {
        if (byte < 0x80) {
            return Sequence { 1, 0 };
        }
        if (byte >= 0xC2 && byte < 0xE0) {
            return Sequence { 2, 0x80 };
        }
        if (byte >= 0xE0 && byte < 0xF0) {
            return Sequence { 3, 0x800 };
        }
        if (byte >= 0xF0 && byte < 0xF5) {
            return Sequence { 4, 0x10000 };
        }
        return std::nullopt;
    }

    /** @return Length in bytes of the first character of the text; 0 if the character is invalid or not allowed. */
    [[nodiscard]] std::size_t characterLength(std::string_view text) noexcept
    {
        const auto lead = static_cast<unsigned char>(text.front());
        const auto sequence = parseLeadByte(lead);
        if (!sequence || text.size() < sequence->length) {
            return 0;
        }
        if (sequence->length == 1) {
            const bool isControl = lead < 0x20 || lead == 0x7F;
            return isControl && lead != '\t' && lead != '\n' && lead != '\r' ? 0 : 1;
        }
        std::uint32_t code = lead & (0x7FU >> sequence->length);
        for (std::size_t index = 1; index < sequence->length; ++index) {
            const auto byte = static_cast<unsigned char>(text[index]);
            if ((byte & 0xC0U) != 0x80U) {
                return 0;
            }
            code = (code << 6U) | (byte & 0x3FU);
        }
        const bool isSurrogate = code >= 0xD800 && code < 0xE000;
        return code < sequence->minCode || code > 0x10FFFF || isSurrogate ? 0 : sequence->length;
    }

} // namespace

std::optional<Position> findInvalidCharacter(std::string_view text) noexcept
{
    Position position { 1, 1 };
    while (!text.empty()) {
        const auto length = characterLength(text);
        if (length == 0) {
            return position;
        }
        if (text.front() == '\n') {
            position = { position.line + 1, 1 };
        } else {
            ++position.column;
        }
        text.remove_prefix(length);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept { return parseWhole<std::uint64_t>(text); }

std::optional<Duration> parseDuration(std::string_view text) noexcept
{
    auto value = parseWithUnit(text, durationUnits);
    if (!value) {
        value = parseDecimalWithUnit(text, durationUnits);
    }
    return value ? std::optional(Duration(static_cast<Duration::rep>(*value))) : std::nullopt;
}

bool isDurationUnit(std::string_view text) noexcept
{
    return std::any_of(durationUnits.begin(), durationUnits.end(), [&](const Unit& each) { return each.name == text; });
}

std::optional<std::uint64_t> parseSize(std::string_view text) noexcept { return parseWithUnit(text, sizeUnits); }

std::optional<std::uint64_t> parsePercent(std::string_view text) noexcept
{
    constexpr std::array<Unit, 1> percent { { { "%", 1 } } };
    return parseWithUnit(text, percent);
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto portText = text.substr(colon + 1);
    const auto port = parseUnsigned(portText);
    constexpr std::uint64_t maxPort = 65'535;
    if (!port || *port == 0 || *port > maxPort || portText.front() == '0') {
        return false;
    }
    in_addr address {};
    return inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) == 1;
}

std::string durationText(Duration duration)
{
    return textWithUnit(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::string sizeText(std::uint64_t bytes) { return textWithUnit(bytes, sizeUnits); }

std::optional<std::string> readFile(const std::string& file, std::size_t maxBytes, Findings& findings)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        findings.push_back({ file, 0, 0, "the file cannot be opened" });
        return std::nullopt;
    }
    std::string text(maxBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.fail() && !stream.eof())) {
        findings.push_back({ file, 0, 0, "the file cannot be read" });
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace swiftlift::settings::internal
