#include "common/Controls.h"

#include <algorithm>

namespace swiftlift::standins {

void Controls::add(std::string name, Setter setter) { setters_.emplace_back(std::move(name), std::move(setter)); }

bool Controls::knows(const std::string& name) const
{
    return std::any_of(setters_.begin(), setters_.end(), [&name](const auto& entry) { return entry.first == name; });
}

Findings Controls::unknownNames(const Json& change) const
{
    Findings findings;
    for (const auto& [name, value] : change.items()) {
        if (!knows(name)) {
            findings.push_back({ .source = name, .message = "unknown name" });
        }
    }
    return findings;
}

Findings Controls::apply(const std::string& text, Json& reply)
{
    const auto change = Json::parse(text, nullptr, false);
    if (!change.is_object()) {
        return { { .source = "control", .message = "not a JSON object" } };
    }
    auto findings = unknownNames(change);
    if (!findings.empty()) {
        return findings;
    }
    for (const auto& [name, setter] : setters_) {
        if (!change.contains(name)) {
            continue;
        }
        try {
            setter(change.at(name), reply);
        } catch (const std::exception& error) {
            findings.push_back({ .source = name, .message = error.what() });
        }
    }
    return findings;
}

} // namespace swiftlift::standins
