#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "settings/Yaml.h"
#include "swiftlift/base/Finding.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::settings::internal {

/**
 * @return Position of the first byte that is not UTF-8 or is a control character other than tab, LF and CR; empty if
 * there is none.
 */
[[nodiscard]] std::optional<Position> findInvalidCharacter(std::string_view text) noexcept;

/** @return The decimal number; empty if the text has other characters than digits or the number does not fit. */
[[nodiscard]] std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept;

/**
 * @return Duration given as a decimal number such as 30, 7.5 or 1e3 with unit us, ms, s, m or h, rounded to
 * microseconds; empty if the text is malformed.
 */
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text) noexcept;

/** @return Whether the text is a unit of durations without a number. */
[[nodiscard]] bool isDurationUnit(std::string_view text) noexcept;

/** @return Number of bytes given as a whole number with unit B, KiB or MiB; empty if the text is malformed. */
[[nodiscard]] std::optional<std::uint64_t> parseSize(std::string_view text) noexcept;

/** @return Percentage given as a whole number with `%`; empty if the text is malformed. */
[[nodiscard]] std::optional<std::uint64_t> parsePercent(std::string_view text) noexcept;

/**
 * @return Whether the text is `ip:port` with a numeric IPv4 address and a port from 1 to 65535 without leading zeros.
 */
[[nodiscard]] bool isAddress(std::string_view text);

/** @return The duration as a whole number of the largest possible unit. */
[[nodiscard]] std::string durationText(Duration duration);

/** @return The size as a whole number of the largest possible unit. */
[[nodiscard]] std::string sizeText(std::uint64_t bytes);

/**
 * @brief Reads a file, up to one byte beyond a size limit, so that the caller can detect a file that is too large.
 * @param file Path of the file.
 * @param maxBytes Size limit.
 * @param findings Receives a finding if the file can't be read.
 * @return Content of the file, at most `maxBytes + 1` bytes; empty if the file can't be read.
 */
[[nodiscard]] std::optional<std::string> readFile(const std::string& file, std::size_t maxBytes, Findings& findings);

} // namespace swiftlift::settings::internal
