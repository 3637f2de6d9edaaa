#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** Who asks for which model, and since when its engines are nearly full. */
class ModelDemand {
public:
    ModelDemand(const PlannerSettings& settings, Instant startedAt);

    void onUnserved(const std::string& model, Instant now);
    /** @brief An engine that has the model runs requests. */
    void onUsed(const std::string& model, Instant now) { models_[model].lastUsed = now; }
    void noteUtilisation(const std::string& model, double utilisation, Instant now);

    /** @return Requests that found no engine with it lately. */
    [[nodiscard]] std::uint32_t unserved(const std::string& model, Instant now) const;
    /** @return True unless nobody has asked for it for a while; before anything is known, true. */
    [[nodiscard]] bool hasDemand(const std::string& model, Instant now) const;
    /** @return True when its engines have been nearly full for long enough. */
    [[nodiscard]] bool busy(const std::string& model, Instant now) const;
    template <typename Keep> void keepOnly(Keep keep)
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
