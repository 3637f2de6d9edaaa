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

/** @return Place of the first byte that is not UTF-8, or of a control character other than tab and line end. */
[[nodiscard]] std::optional<Place> findBadCharacter(std::string_view text) noexcept;

/** @return The decimal number, digits only; nothing when it is none or does not fit. */
[[nodiscard]] std::optional<std::uint64_t> parseUnsigned(std::string_view text) noexcept;

/** @return The duration of a whole number with one of the units us, ms, s, m, h. */
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text) noexcept;

/** @return The bytes of a whole number with one of the units B, KiB, MiB. */
[[nodiscard]] std::optional<std::uint64_t> parseSize(std::string_view text) noexcept;

/** @return The percent of a whole number with `%`. */
[[nodiscard]] std::optional<std::uint64_t> parsePercent(std::string_view text) noexcept;

/** @return Whether this is `ip:port`, an IPv4 address and a port from 1, both as plain numbers. */
[[nodiscard]] bool isAddress(std::string_view text);

/** @return The duration with the largest unit that keeps it whole. */
[[nodiscard]] std::string durationText(Duration duration);

/** @return The size with the largest unit that keeps it whole. */
[[nodiscard]] std::string sizeText(std::uint64_t bytes);

/** @return The file's bytes, or nothing with a finding; at most one byte more than `maxBytes` is read. */
[[nodiscard]] std::optional<std::string> readFile(const std::string& file, std::size_t maxBytes, Findings& findings);

} // namespace swiftlift::settings::internal
