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

/** Engines that obey orders after a while and report each second; the planner plans each second. */
class EngineWorld {
public:
    struct Machine {
        std::set<std::string> models;
        std::map<std::string, Instant> loading;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint64_t generation = 1;
        bool up = true;
        bool deaf = false;
        bool refuses = false;
    };

    explicit EngineWorld(std::vector<std::set<std::string>> engines, PlannerSettings given = {})
        : settings(given)
    {
        for (std::size_t index = 0; index < engines.size(); ++index) {
            machines[nameOf(index)].models = std::move(engines[index]);
        }
        takeOver();
    }

    [[nodiscard]] static BackendId nameOf(std::size_t index)
    {
        return BackendId { "127.0.0." + std::to_string(index + 1) };
    }

    /** A new holder of the lease, which knows nothing. */
    void takeOver()
    {
        planner.emplace(settings, now);
        Catalogue catalogue;
        for (const char* model : { "alpha", "beta", "gamma", "delta" }) {
            for (const auto& [backend, machine] : machines) {
                catalogue[model].push_back(backend);
            }
        }
        planner->setCatalogue(std::move(catalogue));
    }

    [[nodiscard]] Machine& at(std::size_t index) { return machines.at(nameOf(index)); }

    void run(int count)
    {
        for (int step = 0; step < count; ++step) {
            now += seconds(1);
            for (auto& [backend, machine] : machines) {
                report(backend, machine);
            }
            for (const Order& order : planner->plan(now)) {
                obey(order);
            }
        }
    }

    [[nodiscard]] std::uint32_t copies(const std::string& model) const
    {
        return static_cast<std::uint32_t>(std::count_if(machines.begin(), machines.end(),
            [&](const auto& entry) { return entry.second.up && entry.second.models.contains(model); }));
    }

    [[nodiscard]] std::size_t loading() const
    {
        std::size_t count = 0;
        for (const auto& [backend, machine] : machines) {
            count += machine.loading.size();
        }
        return count;
    }

    /** @return First orders of this kind, for any model when none is named. */
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

    static constexpr std::uint32_t slots = 10;
    PlannerSettings settings;
    Instant now {};
    Duration loadTime = seconds(4);
    std::map<BackendId, Machine> machines;
    std::optional<Planner> planner;
    std::vector<std::pair<Instant, Order>> sent;

private:
    void report(const BackendId& backend, Machine& machine)
    {
        if (!machine.up) {
            planner->onReportMissed(backend);
            return;
        }
        for (auto entry = machine.loading.begin(); entry != machine.loading.end();) {
            if (entry->second > now) {
                ++entry;
                continue;
            }
            machine.models.insert(entry->first);
            entry = machine.loading.erase(entry);
        }
        planner->onReport({ backend, machine.running, machine.waiting, slots,
                              { machine.models.begin(), machine.models.end() }, false, machine.generation },
            now);
    }

    void obey(const Order& order)
    {
        sent.emplace_back(now, order);
        Machine& machine = machines.at(order.backend);
        planner->onAnswer(order.backend, !machine.refuses, now);
        if (machine.deaf || machine.refuses) {
            return;
        }
        if (order.kind == OrderKind::UnloadModel) {
            machine.models.erase(order.model);
        } else if (!machine.models.contains(order.model)) {
            machine.loading.try_emplace(order.model, now + loadTime);
        }
    }
};

} // namespace swiftlift::placement::testing
