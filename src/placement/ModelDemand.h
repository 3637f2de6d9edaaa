#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** Tracks by model the recent requests, and since when the engines with the model have been nearly full. */
class ModelDemand {
public:
    ModelDemand(const PlannerSettings& settings, Instant startedAt);

    /** @brief Counts a request that found no engine with the model. */
    void onUnserved(const std::string& model, Instant now);
    /** @brief Notes that an engine with the model has requests. */
    void onUsed(const std::string& model, Instant now) { models_[model].lastUsed = now; }
    /** @brief Notes the requests per slot on the engines with the model. */
    void noteUtilisation(const std::string& model, double utilisation, Instant now);

    /** @return Number of recent requests that found no engine with the model. */
    [[nodiscard]] std::uint32_t unserved(const std::string& model, Instant now) const;
    /** @return True when the model was requested within `demandMemory`, or the planner started within that time. */
    [[nodiscard]] bool hasDemand(const std::string& model, Instant now) const;
    /** @return True when the engines with the model have been nearly full for `minBusyTime`. */
    [[nodiscard]] bool isBusyLongEnough(const std::string& model, Instant now) const;
    /** @brief Drops the models for which `keep` returns false. */
    template <typename Keep> void eraseUnless(Keep keep)
    {
        std::erase_if(models_, [&](const auto& entry) { return !keep(entry.first); });
    }

private:
    struct Model {
        std::uint32_t unserved = 0;
        std::optional<Instant> lastUnserved;
        std::optional<Instant> lastUsed;
        std::optional<Instant> busySince;
    };

    [[nodiscard]] const Model* find(const std::string& model) const;

    PlannerSettings settings_;
    Instant startedAt_;
    std::map<std::string, Model> models_;
};

} // namespace swiftlift::placement
