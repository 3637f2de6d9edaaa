#pragma once

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/Yaml.h"
#include "swiftlift/base/Finding.h"
#include "swiftlift/base/StrongType.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::settings::internal {

enum class Need : std::uint8_t { Optional, Required };

/** Least and greatest value allowed. */
template <typename Value> struct Range {
    Value least;
    Value most;
};

/** A word of a choice and its meaning. */
template <typename Value> struct Choice {
    std::string_view word;
    Value value;
};

/**
 * @brief Walks one map of a YAML tree: converts its values and reports what is wrong, each with its place.
 *
 * Readers leave their target as it is, and so at its default, when the key is absent or its value no good. Every key
 * that no reader has asked for is reported by finish().
 */
class Checker {
public:
    /**
     * @param node The map; anything else is reported.
     * @param source Name of the document.
     * @param findings Takes what is wrong.
     */
    Checker(const YamlNode& node, const std::string& source, Findings& findings);

    /** @return The map under the key; when it is absent, one without keys whose readers report nothing. */
    [[nodiscard]] Checker section(std::string_view key, Need need);

    /** @return The maps in the list under the key. */
    [[nodiscard]] std::vector<Checker> sections(std::string_view key, Need need);

    void text(std::string_view key, Need need, std::string& target);
    void unsignedNumber(std::string_view key, Need need, Range<std::uint64_t> range, std::uint64_t& target);
    void unsignedNumber(std::string_view key, Need need, Range<std::uint64_t> range, std::uint32_t& target);
    void tokens(std::string_view key, Need need, Range<std::uint64_t> range, Tokens& target);
    void duration(std::string_view key, Need need, Range<Duration> range, Duration& target);
    void size(std::string_view key, Need need, Range<std::uint64_t> range, std::size_t& target);
    /** A number with or without a fraction, such as 0.2. */
    void fraction(std::string_view key, Need need, Range<double> range, double& target);
    void percent(std::string_view key, Need need, Range<std::uint64_t> range, std::uint32_t& target);

    /** A word that can name something; see isName(). */
    template <typename Name> void name(std::string_view key, Need need, Name& target)
    {
        if (const auto* const word = nameNode(key, need)) {
            target = Name(word->scalar);
        }
    }

    /** An `ip:port`; see isAddress(). */
    template <typename Address> void address(std::string_view key, Need need, Address& target)
    {
        if (const auto* const node = addressNode(key, need)) {
            target = Address(node->scalar);
        }
    }

    /** A list of `ip:port` without repeats. */
    template <typename Address> void addresses(std::string_view key, Need need, std::vector<Address>& target)
    {
        for (const auto* const node : addressNodes(key, need)) {
            target.push_back(Address(node->scalar));
        }
    }

    /** One of a few words. */
    template <typename Value>
    void choice(std::string_view key, Need need, std::initializer_list<Choice<Value>> choices, Value& target)
    {
        const auto* const node = scalarNode(key, need);
        if (node == nullptr) {
            return;
        }
        const auto* const found = std::find_if(
            choices.begin(), choices.end(), [&](const Choice<Value>& each) { return each.word == node->scalar; });
        if (found != choices.end()) {
            target = found->value;
            return;
        }
        std::vector<std::string_view> words;
        for (const auto& each : choices) {
            words.push_back(each.word);
        }
        reportChoice(key, *node, words);
    }

    /** @return The entries of a map whose keys and values are all `ip:port`. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> addressMap(std::string_view key);

    /** @return Whether the key is there, with whatever value. */
    [[nodiscard]] bool has(std::string_view key) const noexcept;

    /** @brief Reports something about the key's value; about the map itself when the key is absent. */
    void report(std::string_view key, const std::string& message);

    /** @brief Reports every key that no reader has asked for. */
    void finish();

private:
    Checker(const YamlNode* map, Place place, std::string path, const std::string& source, Findings& findings);

    [[nodiscard]] const YamlEntry* find(std::string_view key) const noexcept;
    [[nodiscard]] const YamlNode* value(std::string_view key, Need need);
    [[nodiscard]] const YamlNode* scalarNode(std::string_view key, Need need);
    [[nodiscard]] const YamlNode* plainNode(std::string_view key, Need need);
    [[nodiscard]] const YamlNode* nameNode(std::string_view key, Need need);
    [[nodiscard]] const YamlNode* addressNode(std::string_view key, Need need);
    [[nodiscard]] std::vector<const YamlNode*> addressNodes(std::string_view key, Need need);
    [[nodiscard]] std::optional<std::uint64_t> boundedNumber(
        std::string_view key, Need need, Range<std::uint64_t> range);
    [[nodiscard]] bool isMap(std::string_view key, const YamlNode& node);
    [[nodiscard]] bool checkAddress(const std::string& path, const std::string& text, Place place);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    void reportChoice(std::string_view key, const YamlNode& node, const std::vector<std::string_view>& words);
    void reportRange(std::string_view key, const YamlNode& node, const std::string& least, const std::string& most);
    void reportAt(Place place, const std::string& path, const std::string& message);
    void reportRepeatedKeys();

    /** Null: the section is absent or no map; there is nothing to read and nothing more to report. */
    const YamlNode* map_;
    Place place_;
    std::string path_;
    const std::string& source_;
    Findings& findings_;
    std::vector<std::string> known_;
};

/** @brief Puts the findings from `first` on in the order of their places. */
void sortFindings(Findings& findings, std::size_t first);

/**
 * @param read Turns the checker of the whole document into a value.
 * @return The value; nothing when anything was found.
 */
template <typename Read>
[[nodiscard]] auto parseChecked(std::string_view text, const std::string& source, std::size_t maxBytes,
    Findings& findings, const Read& read) -> std::optional<decltype(read(std::declval<Checker&>()))>
{
    const auto before = findings.size();
    const auto tree = loadYaml(text, source, maxBytes, findings);
    if (!tree) {
        return std::nullopt;
    }
    Checker root(*tree, source, findings);
    auto value = read(root);
    sortFindings(findings, before);
    if (findings.size() > before) {
        return std::nullopt;
    }
    return value;
}

} // namespace swiftlift::settings::internal
