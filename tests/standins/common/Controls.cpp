#include "common/Controls.h"

namespace swiftlift::standins {

void Controls::add(std::string name, Setter setter) { setters_.insert_or_assign(std::move(name), std::move(setter)); }

Findings Controls::unknownNames(const Json& change) const
{
    Findings findings;
    for (const auto& [name, value] : change.items()) {
        if (!setters_.contains(name)) {
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
    for (const auto& [name, value] : change.items()) {
        try {
            setters_.at(name)(value, reply);
        } catch (const std::exception& error) {
            findings.push_back({ .source = name, .message = error.what() });
        }
    }
    return findings;
}

} // namespace swiftlift::standins
