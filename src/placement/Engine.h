#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** An order that the engine does not report as carried out yet. */
struct PendingOrder {
    OrderKind kind = OrderKind::LoadModel;
    Urgency urgency = Urgency::Convenient;
    OrderReason reason = OrderReason::Busy;
    /** When the order was decided. */
    Instant since;
    /** Nothing when the order was not sent yet, or has to be sent anew after a restart of the engine. */
    std::optional<Instant> lastSent;
    /** Number of consecutive answers other than an acceptance. */
    std::uint32_t failures = 0;
};

/** An engine's last report, its desired models, and the pending orders that resolve the difference. */
class Engine {
public:
    explicit Engine(const PlannerSettings& settings)
        : settings_(&settings)
    {
    }

    void onReport(const EngineReport& report, Instant now);
    void onReportMissed() { reportedAt_.reset(); }
    /** @brief Applies the answer to the last order sent. */
    void onAnswer(bool accepted);

    /** @brief Makes the model desired here and its load pending. */
    void load(const std::string& model, Urgency urgency, OrderReason reason, Instant now);
    /** @brief Makes the model no longer desired here and its unload pending. */
    void unload(const std::string& model, Urgency urgency, OrderReason reason, Instant now);
    /** @brief Drops pending loads that took too long or failed too often, and pauses the models of those sent. */
    void abandonLoads(Instant now);
    /** @brief Drops the pending unload of the model, which becomes desired here again. */
    void cancel(const std::string& model, Instant now);
    /** @brief Makes the model no longer desired here, without an order. */
    void removeDesired(const std::string& model) { desired_.erase(model); }
    /** @brief Makes the pending order for this model urgent, as requests are refused until the model is loaded. */
    void makeUrgent(const std::string& model);
    /** @brief Notes that the pending order for this model is sent at `now`. */
    void onSent(const std::string& model, Instant now);

    /** @return True when the engine's report is recent enough and the engine is not leaving. */
    [[nodiscard]] bool isUsable(Instant now) const;
    /** @return Running and waiting requests per slot. */
    [[nodiscard]] double utilisation() const;
    [[nodiscard]] std::uint32_t requests() const noexcept { return last_.running + last_.waiting; }
    [[nodiscard]] std::uint32_t slots() const noexcept { return last_.slots; }
    [[nodiscard]] bool reports(const std::string& model) const { return reported_.contains(model); }
    [[nodiscard]] bool isDesired(const std::string& model) const { return desired_.contains(model); }
    /** @return True when one more model can become desired here without another being unloaded. */
    [[nodiscard]] bool belowDesiredLimit() const { return desired_.size() < settings_->maxModelsPerEngine; }
    /** @return True when the models reported and being loaded leave room for one more. */
    [[nodiscard]] bool hasRoom() const { return reported_.size() + sentLoads() < settings_->maxModelsPerEngine; }
    /** @return True when the engine reports more models than `maxModelsPerEngine`. */
    [[nodiscard]] bool isOverfull() const { return reported_.size() > settings_->maxModelsPerEngine; }
    /** @return True while the engine gets no load of this model, as one was abandoned here recently. */
    [[nodiscard]] bool isPaused(const std::string& model, Instant now) const;
    /** @return True when the model has been here long enough to be unloaded. */
    [[nodiscard]] bool isResidenceOver(const std::string& model, Instant now) const;
    /** @return Number of loads that were sent and are not reported as carried out. */
    [[nodiscard]] std::uint32_t sentLoads() const;
    /** @return True when the order has to be sent, for the first time or again. */
    [[nodiscard]] bool isDue(const PendingOrder& order, Instant now) const;
    [[nodiscard]] const std::set<std::string>& reported() const noexcept { return reported_; }
    [[nodiscard]] const std::map<std::string, Instant>& desiredModels() const noexcept { return desired_; }
    [[nodiscard]] const std::map<std::string, PendingOrder>& pending() const noexcept { return pending_; }
    /** @brief Makes a model desired that the engine has already. */
    void addDesired(const std::string& model, Instant now) { desired_.try_emplace(model, now); }

private:
    /** @brief Erases the pending orders that the last report shows as carried out. */
    void eraseCarriedOut();
    [[nodiscard]] bool shouldAbandon(const PendingOrder& order, Instant now) const;

    const PlannerSettings* settings_;
    EngineReport last_;
    std::optional<Instant> reportedAt_;
    /** True once the engine has reported. */
    bool hasReported_ = false;
    std::set<std::string> reported_;
    /** By model: since when it is desired here. */
    std::map<std::string, Instant> desired_;
    std::map<std::string, PendingOrder> pending_;
    /** By model: until when the engine gets no load of it. */
    std::map<std::string, Instant> pausedUntil_;
    /** Model of the last order sent. */
    std::string lastOrderedModel_;
};

} // namespace swiftlift::placement
