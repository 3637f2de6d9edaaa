#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::settings::internal {

/** Line and column of a text, both counted from 1; 0 stands for the whole text. */
struct Position {
    int line = 0;
    int column = 0;
};

struct YamlEntry;

/** A value of a YAML document with its position. */
struct YamlNode {
    enum class Kind : std::uint8_t { Null, Scalar, Sequence, Map };

    Kind kind = Kind::Null;
    Position position;
    /** Only for scalars: the value as text. */
    std::string scalar;
    /** Whether the scalar is quoted or a block, and so a text even if it looks like a number. */
    bool quoted = false;
    /** Only for sequences: the elements. */
    std::vector<YamlNode> items;
    /** Only for maps: the entries in the order of the document; keys may repeat. */
    std::vector<YamlEntry> entries;
};

/** A key of a map with its position and value. */
struct YamlEntry {
    std::string key;
    Position position;
    YamlNode value;
};

/** Maximum nesting depth of maps and lists; the deepest schema needs four levels. */
inline constexpr std::size_t maxYamlDepth = 16;
/** Maximum number of values in one document. */
inline constexpr std::size_t maxYamlNodes = 50'000;

/**
 * @brief Parses one YAML document of limited size and depth into a tree. Never throws.
 *
 * Anchors, aliases and tags are rejected: no schema needs them, and a few nested aliases can stand for billions of
 * values (an alias bomb).
 *
 * @param text The whole document.
 * @param source Name of the document, for the findings.
 * @param maxBytes Maximum size of the text; longer texts are rejected without parsing.
 * @param findings Receives the errors of the text as YAML.
 * @return The tree; empty if the text has errors.
 */
[[nodiscard]] std::optional<YamlNode> loadYaml(
    std::string_view text, const std::string& source, std::size_t maxBytes, Findings& findings);

} // namespace swiftlift::settings::internal
