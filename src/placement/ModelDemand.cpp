#include "placement/ModelDemand.h"

#include <algorithm>

namespace swiftlift::placement {

ModelDemand::ModelDemand(const PlannerSettings& settings, Instant startedAt)
    : settings_(settings)
    , startedAt_(startedAt)
{
}

void ModelDemand::onUnserved(const std::string& model, Instant now)
{
    const std::uint32_t before = unserved(model, now);
    Model& entry = models_[model];
    entry.unserved = before + 1;
    entry.lastUnserved = now;
}

void ModelDemand::noteUtilisation(const std::string& model, double utilisation, Instant now)
{
    Model& entry = models_[model];
    if (utilisation <= settings_.busyUtilisation) {
        entry.busySince.reset();
    } else if (!entry.busySince) {
        entry.busySince = now;
    }
}

const ModelDemand::Model* ModelDemand::find(const std::string& model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? nullptr : &found->second;
}

std::uint32_t ModelDemand::unserved(const std::string& model, Instant now) const
{
    const Model* entry = find(model);
    const bool isRecent
        = entry != nullptr && entry->lastUnserved && now < *entry->lastUnserved + settings_.unservedMemory;
    return isRecent ? entry->unserved : 0;
}

bool ModelDemand::hasDemand(const std::string& model, Instant now) const
{
    Instant last = startedAt_;
    if (const Model* entry = find(model)) {
        last = std::max({ last, entry->lastUnserved.value_or(last), entry->lastUsed.value_or(last) });
    }
    return now < last + settings_.demandMemory;
}

bool ModelDemand::isBusyLongEnough(const std::string& model, Instant now) const
{
    const Model* entry = find(model);
    return entry != nullptr && entry->busySince && now >= *entry->busySince + settings_.minBusyTime;
}

} // namespace swiftlift::placement
