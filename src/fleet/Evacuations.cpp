#include "swiftlift/fleet/Evacuations.h"

#include <algorithm>

namespace swiftlift::fleet {

std::optional<EvacuationChange> Evacuations::apply(Offset offset, const FailureDomain& domain, bool evacuated)
{
    if (offset < position_) {
        return std::nullopt;
    }
    position_ = Offset { offset.value() + 1 };
    const bool changed = evacuated ? domains_.insert(domain).second : domains_.erase(domain) > 0;
    return changed ? std::optional(EvacuationChange { domain, evacuated }) : std::nullopt;
}

std::vector<EvacuationChange> Evacuations::replace(Offset position, const std::set<FailureDomain>& evacuated)
{
    std::vector<EvacuationChange> changes;
    if (position < position_) {
        return changes;
    }
    position_ = position;
    std::set<FailureDomain> either = domains_;
    either.insert(evacuated.begin(), evacuated.end());
    for (const FailureDomain& domain : either) {
        if (evacuated.contains(domain) != domains_.contains(domain)) {
            changes.push_back({ domain, evacuated.contains(domain) });
        }
    }
    domains_ = evacuated;
    return changes;
}

void Evacuations::advance(Offset position) { position_ = std::max(position_, position); }

} // namespace swiftlift::fleet
