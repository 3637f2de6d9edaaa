#include "node/Context.h"

#include <chrono>

namespace swiftlift::node {

std::string toHex(const std::vector<Incarnation>& incarnations)
{
    std::string text;
    for (const Incarnation incarnation : incarnations) {
        text += (text.empty() ? "" : " ") + toHex(incarnation.value());
    }
    return text;
}

std::string toHex(const std::optional<ContentDigest>& content)
{
    return content ? toHex(content->high) + toHex(content->low) : std::string {};
}

std::string toText(const GrantId& grant) { return toHex(grant.holder.value()) + '/' + std::to_string(grant.number); }

std::string toText(const BudgetRef& budget) { return budget.account.value() + '/' + budget.budget.value(); }

const char* toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t toMilliseconds(const std::optional<Duration>& duration)
{
    constexpr std::int64_t unknown = -1;
    return duration ? toMilliseconds(*duration) : unknown;
}

} // namespace swiftlift::node
