#include "swiftlift/placement/Planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "placement/Engine.h"
#include "placement/Fleet.h"
#include "placement/LoadPace.h"
#include "placement/ModelDemand.h"

namespace swiftlift::placement {

struct Planner::State {
    State(PlannerSettings given, Instant now)
        : settings(given)
        , startedAt(now)
        , demand(settings, now)
        , fleet(settings, demand)
        , pace(settings)
    {
    }

    void giveUp(Instant now);
    void repair(Instant now);
    void repairMissing(const BackendId& backend, Engine& engine, Instant now);
    void repairSurplus(const BackendId& backend, Engine& engine, Instant now);
    void wishUnserved(Instant now);
    void wishBusy(Instant now);
    void place(const std::string& model, const Place& where, Urgency urgency, OrderReason reason, Instant now);
    void cancelUnsafeUnloads(Instant now);
    [[nodiscard]] std::vector<Order> dueOrders(Instant now);
    [[nodiscard]] bool mayLoad(const Engine& engine, const Order& order, Instant now);
    [[nodiscard]] std::vector<Order> emit(Instant now);

    const PlannerSettings settings;
    Instant startedAt;
    ModelDemand demand;
    Fleet fleet;
    LoadPace pace;
    std::map<std::string, Instant> lastLoad;
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
    const auto named = [&](const std::string& model) { return catalogue.contains(model); };
    state_->demand.keepOnly(named);
    std::erase_if(state_->lastLoad, [&](const auto& entry) { return !named(entry.first); });
    state_->fleet.setCatalogue(std::move(catalogue));
}

void Planner::onReport(const EngineReport& report, Instant now)
{
    Engine* engine = state_->fleet.find(report.backend);
    if (engine == nullptr) {
        return;
    }
    engine->onReport(report, now);
    for (const auto& model : report.models) {
        if (engine->requests() > 0 && state_->fleet.catalogue().contains(model)) {
            state_->demand.onUsed(model, now);
        }
    }
}

void Planner::onReportMissed(const BackendId& backend)
{
    if (Engine* engine = state_->fleet.find(backend)) {
        engine->onReportMissed();
    }
}

void Planner::onUnserved(const std::string& model, Instant now)
{
    if (state_->fleet.catalogue().contains(model)) {
        state_->demand.onUnserved(model, now);
    }
}

void Planner::onAnswer(const BackendId& backend, bool accepted, Instant now)
{
    if (Engine* engine = state_->fleet.find(backend)) {
        engine->onAnswer(accepted);
        engine->giveUp(now);
    }
}

const std::vector<Blocked>& Planner::blocked() const noexcept { return state_->blocked; }

std::vector<Order> Planner::plan(Instant now)
{
    if (now < state_->startedAt + state_->settings.warmUp) {
        return {};
    }
    state_->blocked.clear();
    state_->giveUp(now);
    state_->repair(now);
    state_->wishUnserved(now);
    state_->wishBusy(now);
    state_->cancelUnsafeUnloads(now);
    return state_->emit(now);
}

void Planner::State::giveUp(Instant now)
{
    for (auto& [backend, engine] : fleet.engines()) {
        engine.giveUp(now);
    }
}

void Planner::State::repair(Instant now)
{
    for (auto& [backend, engine] : fleet.engines()) {
        if (engine.usable(now)) {
            repairMissing(backend, engine, now);
            repairSurplus(backend, engine, now);
        }
    }
}

void Planner::State::repairMissing(const BackendId& backend, Engine& engine, Instant now)
{
    std::vector<std::string> missing;
    for (const auto& [model, since] : engine.wished()) {
        if (!engine.reports(model) && !engine.pending().contains(model)) {
            missing.push_back(model);
        }
    }
    for (const auto& model : missing) {
        if (!fleet.names(model, backend) || !engine.hasRoom()) {
            engine.forget(model);
            continue;
        }
        const bool gone = fleet.copies(model, now) == 0 && demand.hasDemand(model, now);
        engine.load(model, gone ? Urgency::Urgent : Urgency::Convenient, OrderReason::Missing, now);
    }
}

void Planner::State::repairSurplus(const BackendId& backend, Engine& engine, Instant now)
{
    for (const auto& model : engine.reported()) {
        if (engine.wishes(model) || engine.pending().contains(model)) {
            continue;
        }
        // What goes wrong: an engine that does not check fencing numbers obeys a former holder's late order and is
        // fuller than it should be. One notices it by a model in its report that nobody wishes there. Where there is
        // room it does no harm and may be of use.
        if (engine.overfull() && fleet.maySpare(model, backend, now)) {
            engine.unload(model, Urgency::Convenient, OrderReason::Unwanted, now);
            continue;
        }
        const std::string victim = engine.overfull() ? fleet.victimOf(backend, engine, now) : std::string {};
        engine.adopt(model, now);
        if (!victim.empty()) {
            engine.unload(victim, Urgency::Convenient, OrderReason::Room, now);
        }
    }
}

void Planner::State::wishUnserved(Instant now)
{
    std::vector<std::pair<std::uint32_t, std::string>> wanted;
    for (const auto& [model, backends] : fleet.catalogue()) {
        if (const std::uint32_t unserved = demand.unserved(model, now); unserved > 0) {
            wanted.emplace_back(unserved, model);
        }
    }
    std::sort(wanted.rbegin(), wanted.rend());
    for (const auto& [unserved, model] : wanted) {
        if (fleet.wished(model, now)) {
            for (auto& [backend, engine] : fleet.engines()) {
                engine.makeUrgent(model);
            }
        } else if (const auto where = fleet.choose(model, std::nullopt, now)) {
            place(model, *where, Urgency::Urgent, OrderReason::Unserved, now);
        } else if (fleet.copies(model, now) == 0) {
            blocked.push_back({ model, unserved });
        }
    }
}

void Planner::State::wishBusy(Instant now)
{
    for (const auto& [model, backends] : fleet.catalogue()) {
        demand.noteUtilisation(model, fleet.utilisation(model, now), now);
        const auto last = lastLoad.find(model);
        const bool pausing = last != lastLoad.end() && now < last->second + settings.modelPause;
        if (!demand.busy(model, now) || pausing) {
            continue;
        }
        if (const auto where = fleet.choose(model, settings.roomUtilisation, now)) {
            place(model, *where, Urgency::Convenient, OrderReason::Busy, now);
        }
    }
}

void Planner::State::place(
    const std::string& model, const Place& where, Urgency urgency, OrderReason reason, Instant now)
{
    Engine& engine = *fleet.find(where.backend);
    if (!where.victim.empty()) {
        engine.unload(where.victim, urgency, OrderReason::Room, now);
    }
    engine.load(model, urgency, reason, now);
    lastLoad[model] = now;
}

void Planner::State::cancelUnsafeUnloads(Instant now)
{
    for (auto& [backend, engine] : fleet.engines()) {
        std::vector<std::string> unsafe;
        for (const auto& [model, order] : engine.pending()) {
            // What goes wrong: the engine that was to keep the model dies between the decision and the order, and the
            // last copy goes while requests ask for it.
            if (order.kind == OrderKind::UnloadModel && !fleet.maySpare(model, backend, now)) {
                unsafe.push_back(model);
            }
        }
        for (const auto& model : unsafe) {
            engine.cancel(model, now);
        }
    }
}

std::vector<Order> Planner::State::dueOrders(Instant now)
{
    std::vector<Order> orders;
    for (const auto& [backend, engine] : fleet.engines()) {
        if (!engine.usable(now)) {
            continue;
        }
        for (const auto& [model, pending] : engine.pending()) {
            if (engine.due(pending, now)) {
                orders.push_back(
                    { pending.kind, backend, model, pending.urgency, pending.reason, pending.lastSent.has_value(),
                        fleet.utilisation(model, now), fleet.copies(model, now), demand.unserved(model, now) });
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
    if (!engine.hasRoom() || !pace.mayBegin(order.urgency, fleet.loadsInFlight(now), now)) {
        return false;
    }
    pace.onBegun(now);
    return true;
}

std::vector<Order> Planner::State::emit(Instant now)
{
    std::vector<Order> sent;
    std::set<BackendId> told;
    for (Order& order : dueOrders(now)) {
        Engine& engine = *fleet.find(order.backend);
        const bool unloads = order.kind == OrderKind::UnloadModel;
        if (told.contains(order.backend) || (!unloads && !mayLoad(engine, order, now))) {
            continue;
        }
        engine.onSent(order.model, now);
        told.insert(order.backend);
        sent.push_back(std::move(order));
    }
    return sent;
}

} // namespace swiftlift::placement
