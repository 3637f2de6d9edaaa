#include "swiftlift/placement/Planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "placement/Engine.h"
#include "placement/EngineSet.h"
#include "placement/LoadPace.h"
#include "placement/ModelDemand.h"

namespace swiftlift::placement {

struct Planner::State {
    State(PlannerSettings given, Instant now)
        : settings(given)
        , startedAt(now)
        , demand(settings, now)
        , engineSet(settings, demand)
        , loadPace(settings)
    {
    }

    /** @brief Drops the loads of all engines that took too long or failed too often. */
    void abandonLoads(Instant now);
    /** @brief Resolves the differences between the reported and the desired models of the usable engines. */
    void reconcile(Instant now);
    /** @brief Orders loads of desired models that the engine does not report. */
    void reconcileMissing(const BackendId& backend, Engine& engine, Instant now);
    /** @brief Unloads or adopts reported models that are not desired on the engine. */
    void reconcileSurplus(const BackendId& backend, Engine& engine, Instant now);
    /** @brief Places models for which requests found no engine; makes their pending orders urgent. */
    void placeUnserved(Instant now);
    /** @brief Places further copies of models whose engines have been nearly full for long enough. */
    void placeBusy(Instant now);
    /** @brief Makes the load of a model pending, and the unload of the target's victim. */
    void placeModel(
        const std::string& model, const LoadTarget& target, Urgency urgency, OrderReason reason, Instant now);
    /** @brief Cancels pending unloads of models that their engine may no longer lose. */
    void cancelUnsafeUnloads(Instant now);
    /** @return All orders that are due, urgent ones first, then by unserved requests. */
    [[nodiscard]] std::vector<Order> collectDueOrders(Instant now);
    /** @return True when the load may be sent now. A first send counts against the load limits. */
    [[nodiscard]] bool mayLoad(const Engine& engine, const Order& order, Instant now);
    /** @return The due orders that may be sent now, at most one per engine; marks them as sent. */
    [[nodiscard]] std::vector<Order> takeOrdersToSend(Instant now);

    const PlannerSettings settings;
    Instant startedAt;
    ModelDemand demand;
    EngineSet engineSet;
    LoadPace loadPace;
    /** By model: when it was last placed on an engine. */
    std::map<std::string, Instant> lastPlacedAt;
    std::vector<Blocked> blocked;
};

Planner::Planner(PlannerSettings settings, Instant startedAt)
    : state_(std::make_unique<State>(settings, startedAt))
{
}

Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::setCatalogue(Catalogue catalogue)
{
    const auto listed = [&](const std::string& model) { return catalogue.contains(model); };
    state_->demand.eraseUnless(listed);
    std::erase_if(state_->lastPlacedAt, [&](const auto& entry) { return !listed(entry.first); });
    state_->engineSet.setCatalogue(std::move(catalogue));
}

void Planner::onReport(const EngineReport& report, Instant now)
{
    Engine* engine = state_->engineSet.find(report.backend);
    if (engine == nullptr) {
        return;
    }
    engine->onReport(report, now);
    for (const auto& model : report.models) {
        if (engine->requests() > 0 && state_->engineSet.catalogue().contains(model)) {
            state_->demand.onUsed(model, now);
        }
    }
}

void Planner::onReportMissed(const BackendId& backend)
{
    if (Engine* engine = state_->engineSet.find(backend)) {
        engine->onReportMissed();
    }
}

void Planner::onUnserved(const std::string& model, Instant now)
{
    if (state_->engineSet.catalogue().contains(model)) {
        state_->demand.onUnserved(model, now);
    }
}

void Planner::onAnswer(const BackendId& backend, bool accepted, Instant now)
{
    if (Engine* engine = state_->engineSet.find(backend)) {
        engine->onAnswer(accepted);
        engine->abandonLoads(now);
    }
}

const std::vector<Blocked>& Planner::blocked() const noexcept { return state_->blocked; }

std::vector<Order> Planner::plan(Instant now)
{
    if (now < state_->startedAt + state_->settings.warmUp) {
        return {};
    }
    state_->blocked.clear();
    state_->abandonLoads(now);
    state_->reconcile(now);
    state_->placeUnserved(now);
    state_->placeBusy(now);
    state_->cancelUnsafeUnloads(now);
    return state_->takeOrdersToSend(now);
}

void Planner::State::abandonLoads(Instant now)
{
    for (auto& [backend, engine] : engineSet.engines()) {
        engine.abandonLoads(now);
    }
}

void Planner::State::reconcile(Instant now)
{
    for (auto& [backend, engine] : engineSet.engines()) {
        if (engine.isUsable(now)) {
            reconcileMissing(backend, engine, now);
            reconcileSurplus(backend, engine, now);
        }
    }
}

void Planner::State::reconcileMissing(const BackendId& backend, Engine& engine, Instant now)
{
    std::vector<std::string> missing;
    for (const auto& [model, since] : engine.desiredModels()) {
        if (!engine.reports(model) && !engine.pending().contains(model)) {
            missing.push_back(model);
        }
    }
    for (const auto& model : missing) {
        if (!engineSet.isListed(model, backend) || !engine.hasRoom()) {
            engine.removeDesired(model);
            continue;
        }
        const bool demandUnmet = engineSet.copies(model, now) == 0 && demand.hasDemand(model, now);
        engine.load(model, demandUnmet ? Urgency::Urgent : Urgency::Convenient, OrderReason::Missing, now);
    }
}

void Planner::State::reconcileSurplus(const BackendId& backend, Engine& engine, Instant now)
{
    for (const auto& model : engine.reported()) {
        if (engine.isDesired(model) || engine.pending().contains(model)) {
            continue;
        }
        // An engine that does not check fencing numbers can carry out a former holder's late order and then reports a
        // model that is not desired there. The model is unloaded only if the engine is overfull; where there is room,
        // the model does no harm and may be of use.
        if (engine.isOverfull() && engineSet.mayUnload(model, backend, now)) {
            engine.unload(model, Urgency::Convenient, OrderReason::Unwanted, now);
            continue;
        }
        const std::string victim = engine.isOverfull() ? engineSet.chooseVictim(backend, engine, now) : std::string {};
        engine.addDesired(model, now);
        if (!victim.empty()) {
            engine.unload(victim, Urgency::Convenient, OrderReason::Room, now);
        }
    }
}

void Planner::State::placeUnserved(Instant now)
{
    std::vector<std::pair<std::uint32_t, std::string>> unservedModels;
    for (const auto& [model, backends] : engineSet.catalogue()) {
        if (const std::uint32_t unserved = demand.unserved(model, now); unserved > 0) {
            unservedModels.emplace_back(unserved, model);
        }
    }
    std::sort(unservedModels.rbegin(), unservedModels.rend());
    for (const auto& [unserved, model] : unservedModels) {
        if (engineSet.isDesired(model, now)) {
            for (auto& [backend, engine] : engineSet.engines()) {
                engine.makeUrgent(model);
            }
        } else if (const auto target = engineSet.chooseTarget(model, std::nullopt, now)) {
            placeModel(model, *target, Urgency::Urgent, OrderReason::Unserved, now);
        } else if (engineSet.copies(model, now) == 0) {
            blocked.push_back({ model, unserved });
        }
    }
}

void Planner::State::placeBusy(Instant now)
{
    for (const auto& [model, backends] : engineSet.catalogue()) {
        demand.noteUtilisation(model, engineSet.utilisation(model, now), now);
        const auto last = lastPlacedAt.find(model);
        const bool pausing = last != lastPlacedAt.end() && now < last->second + settings.modelPause;
        if (!demand.isBusyLongEnough(model, now) || pausing) {
            continue;
        }
        if (const auto target = engineSet.chooseTarget(model, settings.roomUtilisation, now)) {
            placeModel(model, *target, Urgency::Convenient, OrderReason::Busy, now);
        }
    }
}

void Planner::State::placeModel(
    const std::string& model, const LoadTarget& target, Urgency urgency, OrderReason reason, Instant now)
{
    Engine& engine = *engineSet.find(target.backend);
    if (!target.victim.empty()) {
        engine.unload(target.victim, urgency, OrderReason::Room, now);
    }
    engine.load(model, urgency, reason, now);
    lastPlacedAt[model] = now;
}

void Planner::State::cancelUnsafeUnloads(Instant now)
{
    for (auto& [backend, engine] : engineSet.engines()) {
        std::vector<std::string> unsafe;
        for (const auto& [model, order] : engine.pending()) {
            // The engine that was to keep the model can fail between the decision and the order. The unload would then
            // remove the last copy of a model in demand.
            if (order.kind == OrderKind::UnloadModel && !engineSet.mayUnload(model, backend, now)) {
                unsafe.push_back(model);
            }
        }
        for (const auto& model : unsafe) {
            engine.cancel(model, now);
        }
    }
}

std::vector<Order> Planner::State::collectDueOrders(Instant now)
{
    std::vector<Order> orders;
    for (const auto& [backend, engine] : engineSet.engines()) {
        if (!engine.isUsable(now)) {
            continue;
        }
        for (const auto& [model, pending] : engine.pending()) {
            if (engine.isDue(pending, now)) {
                orders.push_back(
                    { pending.kind, backend, model, pending.urgency, pending.reason, pending.lastSent.has_value(),
                        engineSet.utilisation(model, now), engineSet.copies(model, now), demand.unserved(model, now) });
            }
        }
    }
    std::stable_sort(orders.begin(), orders.end(), [](const Order& left, const Order& right) {
        return std::pair(left.urgency, right.unserved) < std::pair(right.urgency, left.unserved);
    });
    return orders;
}

bool Planner::State::mayLoad(const Engine& engine, const Order& order, Instant now)
{
    if (order.repeated) {
        return true;
    }
    if (!engine.hasRoom() || !loadPace.mayStartLoad(order.urgency, engineSet.loadsInFlight(now), now)) {
        return false;
    }
    loadPace.onLoadStarted(now);
    return true;
}

std::vector<Order> Planner::State::takeOrdersToSend(Instant now)
{
    std::vector<Order> sent;
    std::set<BackendId> orderedBackends;
    for (Order& order : collectDueOrders(now)) {
        Engine& engine = *engineSet.find(order.backend);
        const bool unloads = order.kind == OrderKind::UnloadModel;
        if (orderedBackends.contains(order.backend) || (!unloads && !mayLoad(engine, order, now))) {
            continue;
        }
        engine.onSent(order.model, now);
        orderedBackends.insert(order.backend);
        sent.push_back(std::move(order));
    }
    return sent;
}

} // namespace swiftlift::placement
