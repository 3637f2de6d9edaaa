#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/Yaml.h"
#include "swiftlift/base/Finding.h"
#include "swiftlift/base/StrongType.h"
#include "swiftlift/base/Units.h"

namespace swiftlift::settings::internal {

/** Whether a key has to be present. */
enum class Presence : std::uint8_t { Optional, Required };

/** Smallest and largest allowed value. */
template <typename Value> struct Range {
    Value minimum;
    Value maximum;
};

/** Keys whose values another party provides, such as the platform, and what is wrong with these values. */
struct ProvidedKeys {
    /** Paths of the keys. */
    std::set<std::string, std::less<>> paths;
    /** Keys without a value, and values that can't be used. */
    Findings findings;
    /** Paths of the keys that have a value which can't be used. */
    std::set<std::string, std::less<>> rejected;
};

/** One of the words that a key accepts, with the value that the word stands for. */
template <typename Value> struct Choice {
    std::string_view word;
    Value value;
};

/**
 * @brief Converts the values of one YAML map and reports each error with its position.
 *
 * A function that reads a key leaves its target unchanged, and so at its default, if the key is absent or the value is
 * invalid. reportUnknownKeys() reports each key of the map that no function has read.
 */
class Checker {
public:
    /**
     * @param node The map; a node of another kind is reported as an error.
     * @param source Name of the document, for the findings.
     * @param findings Receives the errors.
     */
    Checker(const YamlNode& node, const std::string& source, Findings& findings);

    /**
     * @param key Key of the section.
     * @param presence Whether the section has to be present.
     * @return Checker of the map under the key. If the map is absent, the checker has no keys and reports nothing.
     */
    [[nodiscard]] Checker section(std::string_view key, Presence presence);

    /**
     * @param key Key of the list.
     * @param presence Whether the list has to be present and not empty.
     * @return Checkers of the maps in the list under the key.
     */
    [[nodiscard]] std::vector<Checker> sectionList(std::string_view key, Presence presence);

    /**
     * @brief Makes errors in the values of these keys no errors of the document: their targets keep their defaults.
     * @param provided The keys; receives what is wrong with their values. Has to outlive this checker and its sections.
     */
    void tolerate(ProvidedKeys& provided) noexcept { provided_ = &provided; }

    /** @return Whether the key is provided and its value can't be used. */
    [[nodiscard]] bool isRejected(std::string_view key) const;

    /** @brief Reads a list of some of these words. */
    [[nodiscard]] std::vector<std::string> words(
        std::string_view key, Presence presence, std::span<const std::string_view> known);

    /** @brief Reads a text. */
    void text(std::string_view key, Presence presence, std::string& target);
    /** @brief Reads a whole number within a range. */
    void unsignedNumber(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint64_t& target);
    void unsignedNumber(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint32_t& target);
    /** @brief Reads a number of tokens. */
    void tokens(std::string_view key, Presence presence, Range<std::uint64_t> range, Tokens& target);
    /** @brief Reads a duration with a unit, such as 30s or 7.5s. */
    void duration(std::string_view key, Presence presence, Range<Duration> range, Duration& target);
    /** @brief Reads a size in bytes with a unit, such as 64KiB. */
    void size(std::string_view key, Presence presence, Range<std::uint64_t> range, std::size_t& target);
    /** @brief Reads a decimal number, such as 0.2. */
    void fraction(std::string_view key, Presence presence, Range<double> range, double& target);
    /** @brief Reads a percentage, such as 10%. */
    void percent(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint32_t& target);

    /** @brief Reads a name; see isName(). */
    template <typename Name> void name(std::string_view key, Presence presence, Name& target)
    {
        if (const auto* const word = nameNode(key, presence)) {
            target = Name(word->scalar);
        }
    }

    /** @brief Reads an address `ip:port`; see isAddress(). */
    template <typename Address> void address(std::string_view key, Presence presence, Address& target)
    {
        if (const auto* const node = addressNode(key, presence)) {
            target = Address(node->scalar);
        }
    }

    /** @brief Reads a list of different addresses `ip:port`. An optional list without a value is empty: this is how a
     * list without elements is written in YAML's block style. */
    template <typename Address> void addresses(std::string_view key, Presence presence, std::vector<Address>& target)
    {
        for (const auto* const node : addressNodes(key, presence)) {
            target.push_back(Address(node->scalar));
        }
    }

    /** @brief Reads one of several words and stores the value that the word stands for. */
    template <typename Value>
    void choice(std::string_view key, Presence presence, std::initializer_list<Choice<Value>> choices, Value& target)
    {
        const auto* const node = scalarNode(key, presence);
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

    /** @return The valid entries of the map under the key; its keys and values have to be addresses `ip:port`. A map
     * without a value is empty. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> addressMap(std::string_view key);

    /** @return Whether the map has the key, with any value. */
    [[nodiscard]] bool hasKey(std::string_view key) const noexcept;

    /** @brief Reports an error at the position of the key's value, or at the map's position if the key is absent. */
    void report(std::string_view key, const std::string& message);

    /** @brief Reports each key of the map that no function of this checker has read. */
    void reportUnknownKeys();

private:
    Checker(const YamlNode* map, Position position, std::string path, const Checker& parent);

    [[nodiscard]] const YamlEntry* find(std::string_view key) const noexcept;
    [[nodiscard]] const YamlNode* value(std::string_view key, Presence presence);
    /** @return Whether the key is there without a value. */
    [[nodiscard]] bool hasNoValue(std::string_view key) const noexcept;
    [[nodiscard]] bool isProvided(std::string_view path) const;
    [[nodiscard]] const YamlNode* scalarNode(std::string_view key, Presence presence);
    [[nodiscard]] const YamlNode* plainNode(std::string_view key, Presence presence);
    [[nodiscard]] const YamlNode* nameNode(std::string_view key, Presence presence);
    [[nodiscard]] const YamlNode* addressNode(std::string_view key, Presence presence);
    [[nodiscard]] std::vector<const YamlNode*> addressNodes(std::string_view key, Presence presence);
    [[nodiscard]] std::optional<std::uint64_t> boundedNumber(
        std::string_view key, Presence presence, Range<std::uint64_t> range);
    [[nodiscard]] bool isMap(std::string_view key, const YamlNode& node);
    [[nodiscard]] bool checkAddress(const std::string& path, const std::string& text, Position position);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    void reportChoice(std::string_view key, const YamlNode& node, const std::vector<std::string_view>& words);
    void reportRange(
        std::string_view key, const YamlNode& node, const std::string& minimum, const std::string& maximum);
    /** @brief Reports a key without a value. */
    void reportNoValue(Position position, const std::string& path);
    /** @brief Reports an error in a value. */
    void reportAt(Position position, const std::string& path, const std::string& message);
    void add(Findings& findings, Position position, const std::string& path, const std::string& message) const;
    void reportRepeatedKeys();

    /** The map; null if the section is absent or is no map, so that there is nothing to read or to report. */
    const YamlNode* map_;
    Position position_;
    std::string path_;
    const std::string& source_;
    Findings& findings_;
    /** Null: all errors are errors of the document. */
    ProvidedKeys* provided_ = nullptr;
    /** Keys that were read so far, whether present or not. */
    std::vector<std::string> acceptedKeys_;
};

/** @brief Sorts the findings from index `first` on by line and column. */
void sortFindings(Findings& findings, std::size_t first);

/**
 * @brief Parses a YAML document and converts it to a value.
 * @param text The whole document.
 * @param source Name of the document, for the findings.
 * @param maxBytes Maximum size of the document; longer documents are rejected without parsing.
 * @param findings Receives the errors, sorted by position.
 * @param read Function that converts the checker of the whole document to the value.
 * @return The value; empty if the document has errors.
 */
template <typename Read>
[[nodiscard]] auto parseChecked(std::string_view text, const std::string& source, std::size_t maxBytes,
    Findings& findings, const Read& read) -> std::optional<decltype(read(std::declval<Checker&>()))>
{
    const auto findingsBefore = findings.size();
    const auto tree = loadYaml(text, source, maxBytes, findings);
    if (!tree) {
        return std::nullopt;
    }
    Checker root(*tree, source, findings);
    auto value = read(root);
    sortFindings(findings, findingsBefore);
    if (findings.size() > findingsBefore) {
        return std::nullopt;
    }
    return value;
}

} // namespace swiftlift::settings::internal
