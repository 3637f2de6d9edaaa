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
        constexpr std::size_t shown = 80;
        return '"' + std::string(text.substr(0, shown)) + (text.size() > shown ? "…\"" : "\"");
    }

    [[nodiscard]] std::string kindText(const YamlNode& node)
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
    : Checker(&node, node.place, {}, source, findings)
{
    if (node.kind != YamlNode::Kind::Map) {
        reportAt(node.place, {}, "expected a map, found " + kindText(node));
        map_ = nullptr;
        return;
    }
    reportRepeatedKeys();
}

Checker::Checker(const YamlNode* map, Place place, std::string path, const std::string& source, Findings& findings)
    : map_(map)
    , place_(place)
    , path_(std::move(path))
    , source_(source)
    , findings_(findings)
{
}

Checker Checker::section(std::string_view key, Need need)
{
    const auto* const node = value(key, need);
    const bool good = node != nullptr && isMap(pathOf(key), *node);
    Checker checker(good ? node : nullptr, good ? node->place : place_, pathOf(key), source_, findings_);
    checker.reportRepeatedKeys();
    return checker;
}

std::vector<Checker> Checker::sections(std::string_view key, Need need)
{
    std::vector<Checker> checkers;
    const auto* const node = value(key, need);
    if (node == nullptr) {
        return checkers;
    }
    if (node->kind != YamlNode::Kind::Sequence) {
        reportAt(node->place, pathOf(key), "expected a list, found " + kindText(*node));
        return checkers;
    }
    if (node->items.empty() && need == Need::Required) {
        reportAt(node->place, pathOf(key), "the list is empty");
    }
    for (const auto& item : node->items) {
        const auto path = pathOf(key) + '[' + std::to_string(checkers.size()) + ']';
        const bool good = isMap(path, item);
        checkers.push_back(Checker(good ? &item : nullptr, item.place, path, source_, findings_));
        checkers.back().reportRepeatedKeys();
    }
    return checkers;
}

void Checker::text(std::string_view key, Need need, std::string& target)
{
    if (const auto* const node = scalarNode(key, need)) {
        target = node->scalar;
    }
}

std::optional<std::uint64_t> Checker::boundedNumber(std::string_view key, Need need, Range<std::uint64_t> range)
{
    const auto* const node = plainNode(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto number = parseUnsigned(node->scalar);
    if (!number) {
        reportAt(node->place, pathOf(key), "expected a whole number, found " + kindText(*node));
        return std::nullopt;
    }
    if (*number < range.least || *number > range.most) {
        reportRange(key, *node, std::to_string(range.least), std::to_string(range.most));
        return std::nullopt;
    }
    return number;
}

void Checker::unsignedNumber(std::string_view key, Need need, Range<std::uint64_t> range, std::uint64_t& target)
{
    if (const auto number = boundedNumber(key, need, range)) {
        target = *number;
    }
}

void Checker::unsignedNumber(std::string_view key, Need need, Range<std::uint64_t> range, std::uint32_t& target)
{
    if (const auto number = boundedNumber(key, need, range)) {
        target = static_cast<std::uint32_t>(*number);
    }
}

void Checker::tokens(std::string_view key, Need need, Range<std::uint64_t> range, Tokens& target)
{
    if (const auto number = boundedNumber(key, need, range)) {
        target = Tokens(static_cast<std::int64_t>(*number));
    }
}

void Checker::duration(std::string_view key, Need need, Range<Duration> range, Duration& target)
{
    const auto* const node = plainNode(key, need);
    if (node == nullptr) {
        return;
    }
    const auto duration = parseDuration(node->scalar);
    if (!duration) {
        reportAt(node->place, pathOf(key), "expected a duration such as 30s or 250ms, found " + kindText(*node));
    } else if (*duration < range.least || *duration > range.most) {
        reportRange(key, *node, durationText(range.least), durationText(range.most));
    } else {
        target = *duration;
    }
}

void Checker::size(std::string_view key, Need need, Range<std::uint64_t> range, std::size_t& target)
{
    const auto* const node = plainNode(key, need);
    if (node == nullptr) {
        return;
    }
    const auto bytes = parseSize(node->scalar);
    if (!bytes) {
        reportAt(node->place, pathOf(key), "expected a size such as 64KiB or 512B, found " + kindText(*node));
    } else if (*bytes < range.least || *bytes > range.most) {
        reportRange(key, *node, sizeText(range.least), sizeText(range.most));
    } else {
        target = static_cast<std::size_t>(*bytes);
    }
}

void Checker::fraction(std::string_view key, Need need, Range<double> range, double& target)
{
    const auto* const node = plainNode(key, need);
    if (node == nullptr) {
        return;
    }
    double number = 0;
    const std::string& text = node->scalar;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size()) {
        reportAt(node->place, pathOf(key), "expected a number such as 0.2, found " + kindText(*node));
    } else if (number < range.least || number > range.most) {
        reportRange(key, *node, std::to_string(range.least), std::to_string(range.most));
    } else {
        target = number;
    }
}

void Checker::percent(std::string_view key, Need need, Range<std::uint64_t> range, std::uint32_t& target)
{
    const auto* const node = plainNode(key, need);
    if (node == nullptr) {
        return;
    }
    const auto percent = parsePercent(node->scalar);
    if (!percent) {
        reportAt(node->place, pathOf(key), "expected a share such as 10%, found " + kindText(*node));
    } else if (*percent < range.least || *percent > range.most) {
        reportRange(key, *node, std::to_string(range.least) + '%', std::to_string(range.most) + '%');
    } else {
        target = static_cast<std::uint32_t>(*percent);
    }
}

std::vector<std::pair<std::string, std::string>> Checker::addressMap(std::string_view key)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    const Checker map = section(key, Need::Optional);
    if (map.map_ == nullptr) {
        return pairs;
    }
    for (const auto& [from, place, to] : map.map_->entries) {
        const bool goodKey = checkAddress(map.path_, from, place);
        const bool goodValue = checkAddress(map.pathOf(from), to.scalar, to.place);
        if (goodKey && goodValue) {
            pairs.emplace_back(from, to.scalar);
        }
    }
    return pairs;
}

bool Checker::has(std::string_view key) const noexcept { return find(key) != nullptr; }

void Checker::report(std::string_view key, const std::string& message)
{
    const auto* const entry = find(key);
    reportAt(entry != nullptr ? entry->value.place : place_, pathOf(key), message);
}

void Checker::finish()
{
    if (map_ == nullptr) {
        return;
    }
    for (const auto& entry : map_->entries) {
        if (std::find(known_.begin(), known_.end(), entry.key) == known_.end()) {
            reportAt(entry.place, path_, "unknown key " + quote(entry.key) + "; known here: " + join(known_));
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

const YamlNode* Checker::value(std::string_view key, Need need)
{
    known_.emplace_back(key);
    if (map_ == nullptr) {
        return nullptr;
    }
    const auto* const entry = find(key);
    if (entry == nullptr) {
        if (need == Need::Required) {
            reportAt(place_, path_, "missing key " + quote(key));
        }
        return nullptr;
    }
    if (entry->value.kind == YamlNode::Kind::Null) {
        reportAt(entry->place, pathOf(key), "has no value");
        return nullptr;
    }
    return &entry->value;
}

const YamlNode* Checker::scalarNode(std::string_view key, Need need)
{
    const auto* const node = value(key, need);
    if (node == nullptr || node->kind == YamlNode::Kind::Scalar) {
        return node;
    }
    reportAt(node->place, pathOf(key), "expected a single value, found " + kindText(*node));
    return nullptr;
}

const YamlNode* Checker::plainNode(std::string_view key, Need need)
{
    const auto* const node = scalarNode(key, need);
    if (node == nullptr || !node->quoted) {
        return node;
    }
    reportAt(
        node->place, pathOf(key), "expected a number, found the text " + kindText(*node) + "; take the quotes off");
    return nullptr;
}

const YamlNode* Checker::nameNode(std::string_view key, Need need)
{
    const auto* const node = scalarNode(key, need);
    if (node == nullptr || isName(node->scalar)) {
        return node;
    }
    reportAt(node->place, pathOf(key),
        "expected a name of 1 to 64 letters, digits, dots, dashes and underscores, found " + kindText(*node));
    return nullptr;
}

const YamlNode* Checker::addressNode(std::string_view key, Need need)
{
    const auto* const node = scalarNode(key, need);
    return node != nullptr && checkAddress(pathOf(key), node->scalar, node->place) ? node : nullptr;
}

std::vector<const YamlNode*> Checker::addressNodes(std::string_view key, Need need)
{
    std::vector<const YamlNode*> nodes;
    const auto* const list = value(key, need);
    if (list == nullptr) {
        return nodes;
    }
    if (list->kind != YamlNode::Kind::Sequence) {
        reportAt(list->place, pathOf(key), "expected a list, found " + kindText(*list));
        return nodes;
    }
    if (list->items.empty() && need == Need::Required) {
        reportAt(list->place, pathOf(key), "the list is empty");
    }
    std::set<std::string> seen;
    for (const auto& item : list->items) {
        if (item.kind != YamlNode::Kind::Scalar) {
            reportAt(item.place, pathOf(key), "expected an address, found " + kindText(item));
        } else if (!checkAddress(pathOf(key), item.scalar, item.place)) {
            continue;
        } else if (!seen.insert(item.scalar).second) {
            reportAt(item.place, pathOf(key), quote(item.scalar) + " stands here twice");
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
    reportAt(node.place, std::string(path), "expected a map, found " + kindText(node));
    return false;
}

bool Checker::checkAddress(const std::string& path, const std::string& text, Place place)
{
    if (isAddress(text)) {
        return true;
    }
    reportAt(place, path, "expected an address such as 127.0.1.1:7400, by number, found " + quote(text));
    return false;
}

std::string Checker::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

void Checker::reportChoice(std::string_view key, const YamlNode& node, const std::vector<std::string_view>& words)
{
    reportAt(node.place, pathOf(key), "expected one of " + join(words) + ", found " + kindText(node));
}

void Checker::reportRange(std::string_view key, const YamlNode& node, const std::string& least, const std::string& most)
{
    reportAt(node.place, pathOf(key), node.scalar + " is not within " + least + " to " + most);
}

void Checker::reportAt(Place place, const std::string& path, const std::string& message)
{
    findings_.push_back({ source_, place.line, place.column, path.empty() ? message : path + ": " + message });
}

void Checker::reportRepeatedKeys()
{
    if (map_ == nullptr) {
        return;
    }
    std::set<std::string_view> seen;
    for (const auto& entry : map_->entries) {
        if (!seen.insert(entry.key).second) {
            reportAt(entry.place, path_, "the key " + quote(entry.key) + " stands here twice");
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
