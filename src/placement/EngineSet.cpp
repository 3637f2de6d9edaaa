#include "placement/EngineSet.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace swiftlift::placement {

void EngineSet::setCatalogue(Catalogue catalogue)
{
    catalogue_ = std::move(catalogue);
    std::set<BackendId> listed;
    for (auto& [model, backends] : catalogue_) {
        std::sort(backends.begin(), backends.end());
        listed.insert(backends.begin(), backends.end());
    }
    std::erase_if(engines_, [&](const auto& entry) { return !listed.contains(entry.first); });
    for (const auto& backend : listed) {
        engines_.try_emplace(backend, *settings_);
    }
}

Engine* EngineSet::find(const BackendId& backend)
{
    const auto found = engines_.find(backend);
    return found == engines_.end() ? nullptr : &found->second;
}

bool EngineSet::isListed(const std::string& model, const BackendId& backend) const
{
    const auto found = catalogue_.find(model);
    return found != catalogue_.end() && std::binary_search(found->second.begin(), found->second.end(), backend);
}

template <typename Visit> void EngineSet::forEach(const std::string& model, Instant now, Visit visit) const
{
    const auto found = catalogue_.find(model);
    if (found == catalogue_.end()) {
        return;
    }
    for (const auto& backend : found->second) {
        if (const Engine& engine = engines_.at(backend); engine.isUsable(now)) {
            visit(backend, engine);
        }
    }
}

double EngineSet::utilisation(const std::string& model, Instant now, const BackendId& except) const
{
    std::uint64_t requests = 0;
    std::uint64_t slots = 0;
    forEach(model, now, [&](const BackendId& backend, const Engine& engine) {
        if (engine.reports(model)) {
            requests += engine.requests();
            slots += backend == except ? 0 : std::max<std::uint32_t>(engine.slots(), 1);
        }
    });
    return slots == 0 ? 0 : static_cast<double>(requests) / static_cast<double>(slots);
}

std::uint32_t EngineSet::copies(const std::string& model, Instant now) const
{
    std::uint32_t count = 0;
    forEach(model, now, [&](const BackendId&, const Engine& engine) { count += engine.reports(model) ? 1 : 0; });
    return count;
}

bool EngineSet::isDesired(const std::string& model, Instant now) const
{
    bool found = false;
    forEach(model, now, [&](const BackendId&, const Engine& engine) { found = found || engine.isDesired(model); });
    return found;
}

bool EngineSet::mayUnload(const std::string& model, const BackendId& backend, Instant now) const
{
    bool copyRemains = false;
    forEach(model, now, [&](const BackendId& other, const Engine& engine) {
        copyRemains = copyRemains || (other != backend && engine.reports(model) && engine.isDesired(model));
    });
    return copyRemains || !demand_->hasDemand(model, now);
}

std::uint32_t EngineSet::loadsInFlight(Instant now) const
{
    std::uint32_t count = 0;
    for (const auto& [backend, engine] : engines_) {
        count += engine.isUsable(now) ? engine.sentLoads() : 0;
    }
    return count;
}

std::string EngineSet::chooseVictim(const BackendId& backend, const Engine& engine, Instant now) const
{
    std::optional<std::tuple<bool, double, std::string>> best;
    for (const auto& [model, since] : engine.desiredModels()) {
        const double remaining = utilisation(model, now, backend);
        if (!engine.isResidenceOver(model, now) || !mayUnload(model, backend, now)
            || remaining >= settings_->roomUtilisation) {
            continue;
        }
        const auto candidate = std::make_tuple(demand_->hasDemand(model, now), remaining, model);
        if (!best || candidate < *best) {
            best = candidate;
        }
    }
    return best ? std::get<std::string>(*best) : std::string {};
}

std::optional<LoadTarget> EngineSet::chooseTarget(
    const std::string& model, std::optional<double> below, Instant now) const
{
    // Engines with room come first, then those with the lowest utilisation, then those with the fewest models.
    std::optional<std::tuple<bool, double, std::size_t, BackendId, std::string>> best;
    forEach(model, now, [&](const BackendId& backend, const Engine& engine) {
        const bool tooBusy = below && engine.utilisation() >= *below;
        if (engine.isDesired(model) || engine.reports(model) || engine.isPaused(model, now) || tooBusy) {
            return;
        }
        const std::string victim = engine.belowDesiredLimit() ? std::string {} : chooseVictim(backend, engine, now);
        if (!engine.belowDesiredLimit() && victim.empty()) {
            return;
        }
        auto candidate
            = std::make_tuple(!victim.empty(), engine.utilisation(), engine.desiredModels().size(), backend, victim);
        if (!best || candidate < *best) {
            best = std::move(candidate);
        }
    });
    if (!best) {
        return std::nullopt;
    }
    return LoadTarget { std::get<BackendId>(*best), std::get<std::string>(*best) };
}

} // namespace swiftlift::placement
