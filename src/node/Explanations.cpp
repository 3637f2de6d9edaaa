#include "node/Explanations.h"

#include <algorithm>

namespace swiftlift::node {

void Explanations::remember(const LogLine& line, Instant now)
{
    const auto field = std::find_if(
        line.fields.begin(), line.fields.end(), [](const LogField& candidate) { return candidate.name == "request"; });
    if (field == line.fields.end()) {
        return;
    }
    const auto* request = std::get_if<std::string>(&field->value);
    if (request == nullptr) {
        return;
    }
    auto [entry, isNew] = lines_.try_emplace(*request);
    if (isNew) {
        order_.push_back(*request);
    }
    if (entry->second.size() < maxLinesPerRequest) {
        entry->second.push_back({ now, line });
    }
    if (order_.size() > maxRequests) {
        lines_.erase(order_.front());
        order_.pop_front();
    }
}

std::vector<Explanation> Explanations::of(const std::string& request) const
{
    const auto found = lines_.find(request);
    return found == lines_.end() ? std::vector<Explanation> {} : found->second;
}

} // namespace swiftlift::node
