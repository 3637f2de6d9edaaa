#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "common/Service.h"
#include "engine/EngineSettings.h"

namespace swiftlift::standins {

/** Orders to load and unload models and adapters, and to change version and role. */
class Orders {
public:
    explicit Orders(const EngineSettings& settings);

    /** Serves `POST /orders`. */
    [[nodiscard]] Awaitable<void> serve(Exchange& exchange);

    [[nodiscard]] const std::set<std::string>& models() const noexcept { return models_; }
    [[nodiscard]] Json audit() const;
    void setChecking(bool checking) noexcept { checking_ = checking; }

private:
    [[nodiscard]] bool accept(const std::string& kind, const std::string& name, std::uint64_t fencing);
    void apply(const std::string& kind, const std::string& name);
    [[nodiscard]] Awaitable<void> finishLoad(std::string name, Clock::time_point ready);

    bool checking_;
    Milliseconds loadTime_;
    std::set<std::string> models_;
    std::set<std::string> loading_;
    std::set<std::string> adapters_;
    std::string version_;
    std::string role_;
    std::uint64_t highestFencing_ = 0;
    Clock::time_point weightStoreFree_ {};
    Json seen_ = Json::array();
};

} // namespace swiftlift::standins
