#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement {

/** An order that the engine does not report as done yet. */
struct PendingOrder {
    OrderKind kind = OrderKind::LoadModel;
    Urgency urgency = Urgency::Convenient;
    OrderReason reason = OrderReason::Busy;
    Instant since;
    std::optional<Instant> lastSent;
    /** Answers in a row that were not an acceptance. */
    std::uint32_t failures = 0;
};

/** One engine: what it reports, what it is wished to have, and the orders between the two. */
class Engine {
public:
    explicit Engine(const PlannerSettings& settings)
        : settings_(&settings)
    {
    }

    void onReport(const EngineReport& report, Instant now);
    void onReportMissed() { reportedAt_.reset(); }
    void onAnswer(bool accepted);

    void load(const std::string& model, Urgency urgency, OrderReason reason, Instant now);
    void unload(const std::string& model, Urgency urgency, OrderReason reason, Instant now);
    /** @brief Forgets loads that took too long or failed too often. */
    void giveUp(Instant now);
    /** @brief The order is off; the engine may keep what it has. */
    void cancel(const std::string& model, Instant now);
    /** @brief The model is no longer wished here. */
    void forget(const std::string& model) { wished_.erase(model); }
    /** @brief Requests are refused for want of a load that is pending. */
    void makeUrgent(const std::string& model);
    /** @brief The order for this model is sent now. */
    void onSent(const std::string& model, Instant now);

    /** @return True when its report is fresh and it does not leave. */
    [[nodiscard]] bool usable(Instant now) const;
    [[nodiscard]] double utilisation() const;
    [[nodiscard]] std::uint32_t requests() const noexcept { return last_.running + last_.waiting; }
    [[nodiscard]] std::uint32_t slots() const noexcept { return last_.slots; }
    [[nodiscard]] bool reports(const std::string& model) const { return reported_.contains(model); }
    [[nodiscard]] bool wishes(const std::string& model) const { return wished_.contains(model); }
    [[nodiscard]] bool wishesRoom() const { return wished_.size() < settings_->modelsPerEngine; }
    [[nodiscard]] bool hasRoom() const { return reported_.size() + loading() < settings_->modelsPerEngine; }
    [[nodiscard]] bool overfull() const { return reported_.size() > settings_->modelsPerEngine; }
    [[nodiscard]] bool avoids(const std::string& model, Instant now) const;
    /** @return True when the model has been here long enough to be taken away. */
    [[nodiscard]] bool settled(const std::string& model, Instant now) const;
    /** @return Loads that were ordered and are not reported. */
    [[nodiscard]] std::uint32_t loading() const;
    [[nodiscard]] bool due(const PendingOrder& order, Instant now) const;
    [[nodiscard]] const std::set<std::string>& reported() const noexcept { return reported_; }
    [[nodiscard]] const std::map<std::string, Instant>& wished() const noexcept { return wished_; }
    [[nodiscard]] const std::map<std::string, PendingOrder>& pending() const noexcept { return pending_; }
    /** @brief The engine has it and may keep it. */
    void adopt(const std::string& model, Instant now) { wished_.try_emplace(model, now); }

private:
    void dropDone();
    [[nodiscard]] bool isOver(const PendingOrder& order, Instant now) const;

    const PlannerSettings* settings_;
    EngineReport last_;
    std::optional<Instant> reportedAt_;
    bool known_ = false;
    std::set<std::string> reported_;
    /** Since when. */
    std::map<std::string, Instant> wished_;
    std::map<std::string, PendingOrder> pending_;
    std::map<std::string, Instant> avoidUntil_;
    /** The model of the last order. */
    std::string lastOrdered_;
};

} // namespace swiftlift::placement
