#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/Engine.h"
#include "placement/ModelDemand.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** Where a model may be loaded, and what has to go for it. */
struct Place {
    BackendId backend;
    /** Empty: there is room. */
    std::string victim;
};

/** The engines of the failure domain together: what the planner asks of them. */
class Fleet {
public:
    Fleet(const PlannerSettings& settings, const ModelDemand& demand)
        : settings_(&settings)
        , demand_(&demand)
    {
    }

    void setCatalogue(Catalogue catalogue);
    /** @return Null for an engine that no service names. */
    [[nodiscard]] Engine* find(const BackendId& backend);
    [[nodiscard]] std::map<BackendId, Engine>& engines() noexcept { return engines_; }
    [[nodiscard]] const Catalogue& catalogue() const noexcept { return catalogue_; }
    /** @return True when a service names this engine for the model. */
    [[nodiscard]] bool names(const std::string& model, const BackendId& backend) const;

    /** @return Requests per slot of the usable engines that report the model, without `except`. */
    [[nodiscard]] double utilisation(
        const std::string& model, Instant now, const BackendId& except = BackendId {}) const;
    /** @return Usable engines that report the model. */
    [[nodiscard]] std::uint32_t copies(const std::string& model, Instant now) const;
    /** @return True when a usable engine has the model or is about to. */
    [[nodiscard]] bool wished(const std::string& model, Instant now) const;
    /** @return True when `backend` may lose the model: another one keeps it, or nobody asks for it. */
    [[nodiscard]] bool maySpare(const std::string& model, const BackendId& backend, Instant now) const;
    [[nodiscard]] std::uint32_t loadsInFlight(Instant now) const;
    /**
     * @param below Engines that are fuller are left out.
     * @return The least loaded engine that can take the model, one with room first; nothing when none can.
     */
    [[nodiscard]] std::optional<Place> choose(const std::string& model, std::optional<double> below, Instant now) const;
    /** @return The model that the engine can best do without; empty when it can spare none. */
    [[nodiscard]] std::string victimOf(const BackendId& backend, const Engine& engine, Instant now) const;

private:
    template <typename Visit> void forEach(const std::string& model, Instant now, Visit visit) const;

    const PlannerSettings* settings_;
    const ModelDemand* demand_;
    Catalogue catalogue_;
    std::map<BackendId, Engine> engines_;
};

} // namespace swiftlift::placement
