#include <algorithm>
#include <iomanip>
#include <sstream>

#include "Auditor.h"
#include "Errors.h"

namespace swiftlift::scenario {

bool AuditReport::has(const std::string& name) const
{
    return std::any_of(counts.begin(), counts.end(), [&name](const AuditCount& count) { return count.name == name; });
}

std::int64_t AuditReport::value(const std::string& name) const
{
    for (const auto& count : counts) {
        if (count.name == name)
            return count.value;
    }
    throw BrokenScript("the audit knows no count " + name);
}

nlohmann::json AuditReport::toJson() const
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto& count : counts)
        object[count.name] = count.value;
    for (const auto& [name, milliseconds] : latencies)
        object[name] = milliseconds;
    return object;
}

std::string AuditReport::toTable() const
{
    constexpr int nameWidth = 26;
    constexpr int valueWidth = 10;
    std::ostringstream text;
    for (const auto& count : counts) {
        text << "  " << std::left << std::setw(nameWidth) << count.name << std::right << std::setw(valueWidth)
             << count.value << "  " << count.meaning << '\n';
        const bool isPlainCount = count.name == "answered";
        for (std::size_t i = 0; !isPlainCount && i < count.cases.size(); ++i)
            text << "      " << count.cases[i] << '\n';
    }
    for (const auto& [name, milliseconds] : latencies)
        text << "  " << std::left << std::setw(nameWidth) << name << std::right << std::setw(valueWidth) << std::fixed
             << std::setprecision(1) << milliseconds << '\n';
    return text.str();
}

} // namespace swiftlift::scenario
