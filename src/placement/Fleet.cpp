#include "placement/Fleet.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace swiftlift::placement {

void Fleet::setCatalogue(Catalogue catalogue)
{
    catalogue_ = std::move(catalogue);
    std::set<BackendId> named;
    for (auto& [model, backends] : catalogue_) {
        std::sort(backends.begin(), backends.end());
        named.insert(backends.begin(), backends.end());
    }
    std::erase_if(engines_, [&](const auto& entry) { return !named.contains(entry.first); });
    for (const auto& backend : named) {
        engines_.try_emplace(backend, *settings_);
    }
}

Engine* Fleet::find(const BackendId& backend)
{
    const auto found = engines_.find(backend);
    return found == engines_.end() ? nullptr : &found->second;
}

bool Fleet::names(const std::string& model, const BackendId& backend) const
{
    const auto found = catalogue_.find(model);
    return found != catalogue_.end() && std::binary_search(found->second.begin(), found->second.end(), backend);
}

template <typename Visit> void Fleet::forEach(const std::string& model, Instant now, Visit visit) const
{
    const auto found = catalogue_.find(model);
    if (found == catalogue_.end()) {
        return;
    }
    for (const auto& backend : found->second) {
        if (const Engine& engine = engines_.at(backend); engine.usable(now)) {
            visit(backend, engine);
        }
    }
}

double Fleet::utilisation(const std::string& model, Instant now, const BackendId& except) const
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

std::uint32_t Fleet::copies(const std::string& model, Instant now) const
{
    std::uint32_t count = 0;
    forEach(model, now, [&](const BackendId&, const Engine& engine) { count += engine.reports(model) ? 1 : 0; });
    return count;
}

bool Fleet::wished(const std::string& model, Instant now) const
{
    bool found = false;
    forEach(model, now, [&](const BackendId&, const Engine& engine) { found = found || engine.wishes(model); });
    return found;
}

bool Fleet::maySpare(const std::string& model, const BackendId& backend, Instant now) const
{
    bool kept = false;
    forEach(model, now, [&](const BackendId& other, const Engine& engine) {
        kept = kept || (other != backend && engine.reports(model) && engine.wishes(model));
    });
    return kept || !demand_->hasDemand(model, now);
}

std::uint32_t Fleet::loadsInFlight(Instant now) const
{
    std::uint32_t count = 0;
    for (const auto& [backend, engine] : engines_) {
        count += engine.usable(now) ? engine.loading() : 0;
    }
    return count;
}

std::string Fleet::victimOf(const BackendId& backend, const Engine& engine, Instant now) const
{
    std::optional<std::tuple<bool, double, std::string>> best;
    for (const auto& [model, since] : engine.wished()) {
        const double rest = utilisation(model, now, backend);
        if (!engine.settled(model, now) || !maySpare(model, backend, now) || rest >= settings_->roomUtilisation) {
            continue;
        }
        const auto candidate = std::make_tuple(demand_->hasDemand(model, now), rest, model);
        if (!best || candidate < *best) {
            best = candidate;
        }
    }
    return best ? std::get<std::string>(*best) : std::string {};
}

std::optional<Place> Fleet::choose(const std::string& model, std::optional<double> below, Instant now) const
{
    // One with room first, then the least loaded, then the one with the fewest models.
    std::optional<std::tuple<bool, double, std::size_t, BackendId, std::string>> best;
    forEach(model, now, [&](const BackendId& backend, const Engine& engine) {
        const bool tooFull = below && engine.utilisation() >= *below;
        if (engine.wishes(model) || engine.reports(model) || engine.avoids(model, now) || tooFull) {
            return;
        }
        const std::string victim = engine.wishesRoom() ? std::string {} : victimOf(backend, engine, now);
        if (!engine.wishesRoom() && victim.empty()) {
            return;
        }
        auto candidate
            = std::make_tuple(!victim.empty(), engine.utilisation(), engine.wished().size(), backend, victim);
        if (!best || candidate < *best) {
            best = std::move(candidate);
        }
    });
    if (!best) {
        return std::nullopt;
    }
    return Place { std::get<BackendId>(*best), std::get<std::string>(*best) };
}

} // namespace swiftlift::placement
