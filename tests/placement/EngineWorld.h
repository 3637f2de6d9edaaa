#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "swiftlift/placement/Planner.h"

namespace swiftlift::placement::testing {

using std::chrono::seconds;

/** Simulates engines that carry out orders after `loadTime` and report each second, and a planner run each second. */
class EngineWorld {
public:
    struct EngineState {
        std::set<std::string> models;
        /** By model: when its load ends. */
        std::map<std::string, Instant> loading;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint64_t generation = 1;
        bool up = true;
        /** True: orders are accepted but not carried out. */
        bool ignoresOrders = false;
        /** True: orders are refused. */
        bool refuses = false;
    };

    explicit EngineWorld(std::vector<std::set<std::string>> initialModels, PlannerSettings given = {})
        : settings(given)
    {
        for (std::size_t index = 0; index < initialModels.size(); ++index) {
            engines[backendId(index)].models = std::move(initialModels[index]);
        }
        replacePlanner();
    }

    [[nodiscard]] static BackendId backendId(std::size_t index)
    {
        return BackendId { "127.0.0." + std::to_string(index + 1) };
    }

    /** Replaces the planner by one of a new holder, which has no state yet. */
    void replacePlanner()
    {
        planner.emplace(settings, now);
        Catalogue catalogue;
        for (const char* model : { "alpha", "beta", "gamma", "delta" }) {
            for (const auto& [backend, engine] : engines) {
                catalogue[model].push_back(backend);
            }
        }
        planner->setCatalogue(std::move(catalogue));
    }

    [[nodiscard]] EngineState& at(std::size_t index) { return engines.at(backendId(index)); }

    /** Runs `count` steps of one second. */
    void run(int count)
    {
        for (int step = 0; step < count; ++step) {
            now += seconds(1);
            for (auto& [backend, engine] : engines) {
                report(backend, engine);
            }
            for (const Order& order : planner->plan(now)) {
                carryOut(order);
            }
        }
    }

    /** @return Number of running engines that have the model. */
    [[nodiscard]] std::uint32_t copies(const std::string& model) const
    {
        return static_cast<std::uint32_t>(std::count_if(engines.begin(), engines.end(),
            [&](const auto& entry) { return entry.second.up && entry.second.models.contains(model); }));
    }

    /** @return Number of loads in flight on all engines. */
    [[nodiscard]] std::size_t loading() const
    {
        std::size_t count = 0;
        for (const auto& [backend, engine] : engines) {
            count += engine.loading.size();
        }
        return count;
    }

    /** @return The orders of this kind, without repetitions; those for all models when `model` is empty. */
    [[nodiscard]] std::vector<Order> orders(OrderKind kind, const std::string& model = "") const
    {
        std::vector<Order> result;
        for (const auto& [when, order] : sent) {
            if (order.kind == kind && !order.repeated && (model.empty() || order.model == model)) {
                result.push_back(order);
            }
        }
        return result;
    }

    /** Slots of each engine. */
    static constexpr std::uint32_t slots = 10;
    PlannerSettings settings;
    Instant now {};
    Duration loadTime = seconds(4);
    std::map<BackendId, EngineState> engines;
    std::optional<Planner> planner;
    /** All orders sent, with their times. */
    std::vector<std::pair<Instant, Order>> sent;

private:
    void report(const BackendId& backend, EngineState& engine)
    {
        if (!engine.up) {
            planner->onReportMissed(backend);
            return;
        }
        for (auto entry = engine.loading.begin(); entry != engine.loading.end();) {
            if (entry->second > now) {
                ++entry;
                continue;
            }
            engine.models.insert(entry->first);
            entry = engine.loading.erase(entry);
        }
        planner->onReport({ backend, engine.running, engine.waiting, slots,
                              { engine.models.begin(), engine.models.end() }, false, engine.generation },
            now);
    }

    void carryOut(const Order& order)
    {
        sent.emplace_back(now, order);
        EngineState& engine = engines.at(order.backend);
        planner->onAnswer(order.backend, !engine.refuses, now);
        if (engine.ignoresOrders || engine.refuses) {
            return;
        }
        if (order.kind == OrderKind::UnloadModel) {
            engine.models.erase(order.model);
        } else if (!engine.models.contains(order.model)) {
            engine.loading.try_emplace(order.model, now + loadTime);
        }
    }
};

} // namespace swiftlift::placement::testing
