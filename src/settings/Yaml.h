#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::settings::internal {

/** Place in a text, both from 1. */
struct Place {
    int line = 0;
    int column = 0;
};

struct YamlEntry;

/** A value of a YAML document with its place. */
struct YamlNode {
    enum class Kind : std::uint8_t { Null, Scalar, Sequence, Map };

    Kind kind = Kind::Null;
    Place place;
    std::string scalar;
    /** Written in quotes or as a block: text, even when it looks like a number. */
    bool quoted = false;
    std::vector<YamlNode> items;
    std::vector<YamlEntry> entries;
};

/** A key of a map with its value. */
struct YamlEntry {
    std::string key;
    Place place;
    YamlNode value;
};

/** Maps and lists in one another; the deepest schema here needs four. */
inline constexpr std::size_t maxYamlDepth = 16;
/** Values in one document. */
inline constexpr std::size_t maxYamlNodes = 50'000;

/**
 * @brief Reads one YAML document into a tree, within bounds. Never throws.
 *
 * Anchors, aliases and tags are refused: a few aliases of aliases stand for billions of values (an alias bomb), and no
 * document here needs any.
 *
 * @param text The whole document.
 * @param source Name of the document, for the findings.
 * @param maxBytes Longer texts are refused unread.
 * @param findings Takes what is wrong with the text as YAML.
 * @return The tree; nothing when anything was found.
 */
[[nodiscard]] std::optional<YamlNode> loadYaml(
    std::string_view text, const std::string& source, std::size_t maxBytes, Findings& findings);

} // namespace swiftlift::settings::internal
