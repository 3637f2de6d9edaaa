#include "settings/Checker.h"

#include <charconv>
#include <limits>
#include <set>
#include <tuple>

#include "settings/Text.h"
#include "swiftlift/settings/Names.h"

namespace swiftlift::settings::internal {

namespace {

    [[nodiscard]] std::string quote(std::string_view text)
    {
        constexpr std::size_t maxQuotedBytes = 80;
        return '"' + std::string(text.substr(0, maxQuotedBytes)) + (text.size() > maxQuotedBytes ? "…\"" : "\"");
    }

    [[nodiscard]] std::string describe(const YamlNode& node)
    {
        switch (node.kind) {
        case YamlNode::Kind::Null:
            return "nothing";
        case YamlNode::Kind::Scalar:
            return quote(node.scalar);
        case YamlNode::Kind::Sequence:
            return "a list";
        case YamlNode::Kind::Map:
            return "a map";
        }
        return "nothing";
    }

    [[nodiscard]] std::string join(const auto& words)
    {
        std::string text;
        for (const auto& word : words) {
            text += (text.empty() ? "" : ", ") + std::string(word);
        }
        return text;
    }

} // namespace

Checker::Checker(const YamlNode& node, const std::string& source, Findings& findings)
    : map_(&node)
    , position_(node.position)
    , source_(source)
    , findings_(findings)
{
    if (node.kind != YamlNode::Kind::Map) {
        reportAt(node.position, {}, "expected a map, found " + describe(node));
        map_ = nullptr;
        return;
    }
    reportRepeatedKeys();
}

Checker::Checker(const YamlNode* map, Position position, std::string path, const Checker& parent)
    : map_(map)
    , position_(position)
    , path_(std::move(path))
    , source_(parent.source_)
    , findings_(parent.findings_)
    , provided_(parent.provided_)
{
}

Checker Checker::section(std::string_view key, Presence presence)
{
    const auto* const node = value(key, presence);
    const bool isValid = node != nullptr && isMap(pathOf(key), *node);
    Checker checker(isValid ? node : nullptr, isValid ? node->position : position_, pathOf(key), *this);
    checker.reportRepeatedKeys();
    return checker;
}

std::vector<Checker> Checker::sectionList(std::string_view key, Presence presence)
{
    std::vector<Checker> checkers;
    const auto* const node = value(key, presence);
    if (node == nullptr) {
        return checkers;
    }
    if (node->kind != YamlNode::Kind::Sequence) {
        reportAt(node->position, pathOf(key), "expected a list, found " + describe(*node));
        return checkers;
    }
    if (node->items.empty() && presence == Presence::Required) {
        reportAt(node->position, pathOf(key), "the list is empty");
    }
    for (const auto& item : node->items) {
        const auto path = pathOf(key) + '[' + std::to_string(checkers.size()) + ']';
        const bool isValid = isMap(path, item);
        checkers.push_back(Checker(isValid ? &item : nullptr, item.position, path, *this));
        checkers.back().reportRepeatedKeys();
    }
    return checkers;
}

bool Checker::isRejected(std::string_view key) const
{
    return provided_ != nullptr && provided_->rejected.contains(pathOf(key));
}

std::vector<std::string> Checker::words(
    std::string_view key, Presence presence, std::span<const std::string_view> known)
{
    std::vector<std::string> words;
    const auto* const list = value(key, presence);
    if (list == nullptr) {
        return words;
    }
    if (list->kind != YamlNode::Kind::Sequence) {
        reportAt(list->position, pathOf(key), "expected a list, found " + describe(*list));
        return words;
    }
    for (const auto& item : list->items) {
        if (std::find(known.begin(), known.end(), item.scalar) == known.end()) {
            reportAt(item.position, pathOf(key), "expected one of " + join(known) + ", found " + describe(item));
        } else {
            words.push_back(item.scalar);
        }
    }
    return words;
}

void Checker::text(std::string_view key, Presence presence, std::string& target)
{
    if (const auto* const node = scalarNode(key, presence)) {
        target = node->scalar;
    }
}

std::optional<std::uint64_t> Checker::boundedNumber(std::string_view key, Presence presence, Range<std::uint64_t> range)
{
    const auto* const node = plainNode(key, presence);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto number = parseUnsigned(node->scalar);
    if (!number) {
        reportAt(node->position, pathOf(key), "expected a whole number, found " + describe(*node));
        return std::nullopt;
    }
    if (*number < range.minimum || *number > range.maximum) {
        reportRange(key, *node, std::to_string(range.minimum), std::to_string(range.maximum));
        return std::nullopt;
    }
    return number;
}

void Checker::unsignedNumber(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint64_t& target)
{
    if (const auto number = boundedNumber(key, presence, range)) {
        target = *number;
    }
}

void Checker::unsignedNumber(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint32_t& target)
{
    if (const auto number = boundedNumber(key, presence, range)) {
        target = static_cast<std::uint32_t>(*number);
    }
}

void Checker::tokens(std::string_view key, Presence presence, Range<std::uint64_t> range, Tokens& target)
{
    if (const auto number = boundedNumber(key, presence, range)) {
        target = Tokens(static_cast<std::int64_t>(*number));
    }
}

void Checker::duration(std::string_view key, Presence presence, Range<Duration> range, Duration& target)
{
    const auto* const node = plainNode(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto duration = parseDuration(node->scalar);
    if (isDurationUnit(node->scalar)) {
        reportNoValue(node->position, pathOf(key));
    } else if (!duration) {
        reportAt(node->position, pathOf(key), "expected a duration such as 30s or 250ms, found " + describe(*node));
    } else if (*duration < range.minimum || *duration > range.maximum) {
        reportRange(key, *node, durationText(range.minimum), durationText(range.maximum));
    } else {
        target = *duration;
    }
}

void Checker::size(std::string_view key, Presence presence, Range<std::uint64_t> range, std::size_t& target)
{
    const auto* const node = plainNode(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto bytes = parseSize(node->scalar);
    if (!bytes) {
        reportAt(node->position, pathOf(key), "expected a size such as 64KiB or 512B, found " + describe(*node));
    } else if (*bytes < range.minimum || *bytes > range.maximum) {
        reportRange(key, *node, sizeText(range.minimum), sizeText(range.maximum));
    } else {
        target = static_cast<std::size_t>(*bytes);
    }
}

void Checker::fraction(std::string_view key, Presence presence, Range<double> range, double& target)
{
    const auto* const node = plainNode(key, presence);
    if (node == nullptr) {
        return;
    }
    double number = 0;
    const std::string& text = node->scalar;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size()) {
        reportAt(node->position, pathOf(key), "expected a number such as 0.2, found " + describe(*node));
    } else if (!(number >= range.minimum && number <= range.maximum)) {
        // Not a number is less than no minimum and greater than no maximum.
        reportRange(key, *node, std::to_string(range.minimum), std::to_string(range.maximum));
    } else {
        target = number;
    }
}

void Checker::percent(std::string_view key, Presence presence, Range<std::uint64_t> range, std::uint32_t& target)
{
    const auto* const node = plainNode(key, presence);
    if (node == nullptr) {
        return;
    }
    const auto percent = parsePercent(node->scalar);
    if (!percent) {
        reportAt(node->position, pathOf(key), "expected a share such as 10%, found " + describe(*node));
    } else if (*percent < range.minimum || *percent > range.maximum) {
        reportRange(key, *node, std::to_string(range.minimum) + '%', std::to_string(range.maximum) + '%');
    } else {
        target = static_cast<std::uint32_t>(*percent);
    }
}

std::vector<std::pair<std::string, std::string>> Checker::addressMap(std::string_view key)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    if (hasNoValue(key)) {
        acceptedKeys_.emplace_back(key);
        return pairs;
    }
    const Checker map = section(key, Presence::Optional);
    if (map.map_ == nullptr) {
        return pairs;
    }
    for (const auto& [from, position, to] : map.map_->entries) {
        const bool isKeyValid = checkAddress(map.path_, from, position);
        const bool isValueValid = checkAddress(map.pathOf(from), to.scalar, to.position);
        if (isKeyValid && isValueValid) {
            pairs.emplace_back(from, to.scalar);
        }
    }
    return pairs;
}

bool Checker::hasKey(std::string_view key) const noexcept { return find(key) != nullptr; }

void Checker::report(std::string_view key, const std::string& message)
{
    const auto* const entry = find(key);
    reportAt(entry != nullptr ? entry->value.position : position_, pathOf(key), message);
}

void Checker::reportUnknownKeys()
{
    if (map_ == nullptr) {
        return;
    }
    for (const auto& entry : map_->entries) {
        if (std::find(acceptedKeys_.begin(), acceptedKeys_.end(), entry.key) == acceptedKeys_.end()) {
            reportAt(entry.position, path_, "unknown key " + quote(entry.key) + "; known here: " + join(acceptedKeys_));
        }
    }
}

const YamlEntry* Checker::find(std::string_view key) const noexcept
{
    if (map_ == nullptr) {
        return nullptr;
    }
    const auto& entries = map_->entries;
    const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto& each) { return each.key == key; });
    return entry == entries.end() ? nullptr : &*entry;
}

const YamlNode* Checker::value(std::string_view key, Presence presence)
{
    acceptedKeys_.emplace_back(key);
    if (map_ == nullptr) {
        return nullptr;
    }
    const auto* const entry = find(key);
    if (entry == nullptr) {
        if (presence == Presence::Required) {
            reportAt(position_, path_, "missing key " + quote(key));
        }
        return nullptr;
    }
    if (hasNoValue(key)) {
        reportNoValue(entry->position, pathOf(key));
        return nullptr;
    }
    return &entry->value;
}

bool Checker::hasNoValue(std::string_view key) const noexcept
{
    const auto* const entry = find(key);
    return entry != nullptr && entry->value.kind == YamlNode::Kind::Null;
}

bool Checker::isProvided(std::string_view path) const
{
    return provided_ != nullptr && provided_->paths.contains(path);
}

const YamlNode* Checker::scalarNode(std::string_view key, Presence presence)
{
    const auto* const node = value(key, presence);
    if (node == nullptr || node->kind == YamlNode::Kind::Scalar) {
        return node;
    }
    reportAt(node->position, pathOf(key), "expected a single value, found " + describe(*node));
    return nullptr;
}

const YamlNode* Checker::plainNode(std::string_view key, Presence presence)
{
    const auto* const node = scalarNode(key, presence);
    if (node == nullptr || !node->quoted) {
        return node;
    }
    reportAt(
        node->position, pathOf(key), "expected a number, found the text " + describe(*node) + "; take the quotes off");
    return nullptr;
}

const YamlNode* Checker::nameNode(std::string_view key, Presence presence)
{
    const auto* const node = scalarNode(key, presence);
    if (node == nullptr || isName(node->scalar)) {
        return node;
    }
    reportAt(node->position, pathOf(key),
        "expected a name of 1 to 64 letters, digits, dots, dashes and underscores, found " + describe(*node));
    return nullptr;
}

const YamlNode* Checker::addressNode(std::string_view key, Presence presence)
{
    const auto* const node = scalarNode(key, presence);
    return node != nullptr && checkAddress(pathOf(key), node->scalar, node->position) ? node : nullptr;
}

std::vector<const YamlNode*> Checker::addressNodes(std::string_view key, Presence presence)
{
    std::vector<const YamlNode*> nodes;
    if (presence == Presence::Optional && hasNoValue(key)) {
        acceptedKeys_.emplace_back(key);
        return nodes;
    }
    const auto* const list = value(key, presence);
    if (list == nullptr) {
        return nodes;
    }
    if (list->kind != YamlNode::Kind::Sequence) {
        reportAt(list->position, pathOf(key), "expected a list, found " + describe(*list));
        return nodes;
    }
    if (list->items.empty() && presence == Presence::Required) {
        reportAt(list->position, pathOf(key), "the list is empty");
    }
    std::set<std::string> seen;
    for (const auto& item : list->items) {
        if (item.kind != YamlNode::Kind::Scalar) {
            reportAt(item.position, pathOf(key), "expected an address, found " + describe(item));
        } else if (!checkAddress(pathOf(key), item.scalar, item.position)) {
            continue;
        } else if (!seen.insert(item.scalar).second) {
            reportAt(item.position, pathOf(key), quote(item.scalar) + " stands here twice");
        } else {
            nodes.push_back(&item);
        }
    }
    return nodes;
}

bool Checker::isMap(std::string_view path, const YamlNode& node)
{
    if (node.kind == YamlNode::Kind::Map) {
        return true;
    }
    reportAt(node.position, std::string(path), "expected a map, found " + describe(node));
    return false;
}

bool Checker::checkAddress(const std::string& path, const std::string& text, Position position)
{
    if (isAddress(text)) {
        return true;
    }
    reportAt(position, path, "expected an address such as 127.0.1.1:7400, by number, found " + quote(text));
    return false;
}

std::string Checker::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

void Checker::reportChoice(std::string_view key, const YamlNode& node, const std::vector<std::string_view>& words)
{
    reportAt(node.position, pathOf(key), "expected one of " + join(words) + ", found " + describe(node));
}

void Checker::reportRange(
    std::string_view key, const YamlNode& node, const std::string& minimum, const std::string& maximum)
{
    reportAt(node.position, pathOf(key), node.scalar + " is not within " + minimum + " to " + maximum);
}

void Checker::reportNoValue(Position position, const std::string& path)
{
    add(isProvided(path) ? provided_->findings : findings_, position, path, "has no value");
}

void Checker::reportAt(Position position, const std::string& path, const std::string& message)
{
    if (!isProvided(path)) {
        add(findings_, position, path, message);
        return;
    }
    provided_->rejected.insert(path);
    add(provided_->findings, position, path, message);
}

void Checker::add(Findings& findings, Position position, const std::string& path, const std::string& message) const
{
    findings.push_back({ source_, position.line, position.column, path.empty() ? message : path + ": " + message });
}

void Checker::reportRepeatedKeys()
{
    if (map_ == nullptr) {
        return;
    }
    std::set<std::string_view> seen;
    for (const auto& entry : map_->entries) {
        if (!seen.insert(entry.key).second) {
            reportAt(entry.position, path_, "the key " + quote(entry.key) + " stands here twice");
        }
    }
}

void sortFindings(Findings& findings, std::size_t first)
{
    const auto start = findings.begin() + static_cast<std::ptrdiff_t>(first);
    std::stable_sort(start, findings.end(), [](const Finding& left, const Finding& right) {
        return std::tie(left.line, left.column) < std::tie(right.line, right.column);
    });
}

} // namespace swiftlift::settings::internal
