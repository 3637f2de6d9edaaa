#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/Engine.h"
#include "placement/ModelDemand.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** An engine that can load a model, and the model to unload there first. */
struct LoadTarget {
    BackendId backend;
    /** Model to unload; empty when the engine has room. */
    std::string victim;
};

/** The engines of the failure domain, with the figures and choices that span several engines. */
class EngineSet {
public:
    EngineSet(const PlannerSettings& settings, const ModelDemand& demand)
        : settings_(&settings)
        , demand_(&demand)
    {
    }

    /** @brief Replaces the catalogue; drops engines that it does not list and adds new ones. */
    void setCatalogue(Catalogue catalogue);
    /** @return The engine; null when no service lists it. */
    [[nodiscard]] Engine* find(const BackendId& backend);
    [[nodiscard]] std::map<BackendId, Engine>& engines() noexcept { return engines_; }
    [[nodiscard]] const Catalogue& catalogue() const noexcept { return catalogue_; }
    /** @return True when a service lists this engine for the model. */
    [[nodiscard]] bool isListed(const std::string& model, const BackendId& backend) const;

    /**
     * @param except Engine whose slots are left out, while its requests count: the utilisation if it lost the model.
     * @return Requests per slot on the usable engines that report the model; 0 when there are no slots.
     */
    [[nodiscard]] double utilisation(
        const std::string& model, Instant now, const BackendId& except = BackendId {}) const;
    /** @return Number of usable engines that report the model. */
    [[nodiscard]] std::uint32_t copies(const std::string& model, Instant now) const;
    /** @return True when the model is desired on a usable engine. */
    [[nodiscard]] bool isDesired(const std::string& model, Instant now) const;
    /** @return True when `backend` may unload the model: another engine keeps it, or the model has no demand. */
    [[nodiscard]] bool mayUnload(const std::string& model, const BackendId& backend, Instant now) const;
    /** @return Number of loads in flight on usable engines. */
    [[nodiscard]] std::uint32_t loadsInFlight(Instant now) const;
    /**
     * @param below Engines with this many requests per slot or more are left out; nothing: no engine is left out.
     * @return The least loaded engine that can load the model, engines with room first; nothing when none can.
     */
    [[nodiscard]] std::optional<LoadTarget> chooseTarget(
        const std::string& model, std::optional<double> below, Instant now) const;
    /**
     * @brief Chooses the model to unload on an engine: models without demand first, then the one whose other engines
     * would have the lowest utilisation.
     * @return The model; empty when the engine may unload none.
     */
    [[nodiscard]] std::string chooseVictim(const BackendId& backend, const Engine& engine, Instant now) const;

private:
    /** @brief Calls `visit` for each usable engine that is listed for the model. */
    template <typename Visit> void forEach(const std::string& model, Instant now, Visit visit) const;

    const PlannerSettings* settings_;
    const ModelDemand* demand_;
    Catalogue catalogue_;
    std::map<BackendId, Engine> engines_;
};

} // namespace swiftlift::placement
