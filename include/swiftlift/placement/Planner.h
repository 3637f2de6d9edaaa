#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "swiftlift/base/Ids.h"
#include "swiftlift/base/Units.h"
#include "swiftlift/placement/Order.h"

namespace swiftlift::placement {

/** Limits and times of the planner. */
struct PlannerSettings {
    /** Nothing is ordered for this long after the start, so that all engines can report first. */
    Duration warmUp = std::chrono::seconds(3);
    /** An engine whose report is older gets no orders and is left out of all sums. */
    Duration reportLifetime = std::chrono::seconds(5);
    /** Maximum of concurrent loads in the failure domain; the last one is reserved for urgent loads. */
    std::uint32_t maxLoadsInFlight = 2;
    /** Maximum of loads started within a minute; half of them are reserved for urgent loads. */
    std::uint32_t maxLoadsPerMinute = 6;
    /** Maximum of models that an engine can hold. */
    std::size_t maxModelsPerEngine = 2;
    /** Requests per slot above which a model needs another engine. */
    double busyUtilisation = 0.85;
    /**
     * Requests per slot below which an engine may take a further copy of a busy model. A copy is unloaded to make room
     * only if the remaining copies stay below this value.
     */
    double roomUtilisation = 0.5;
    /** How long a model has to be busy without interruption before another copy is loaded. */
    Duration minBusyTime = std::chrono::seconds(10);
    /** Minimum time from a model's last load to its next load for the reason `Busy`. */
    Duration modelPause = std::chrono::seconds(60);
    /** How long a model counts as in demand after its last request, and after the planner's start. */
    Duration demandMemory = std::chrono::seconds(60);
    /** How long requests that found no engine with a model make a load of that model urgent. */
    Duration unservedMemory = std::chrono::seconds(10);
    /** Minimum time that a model stays on the engine that loaded it. */
    Duration minResidence = std::chrono::seconds(120);
    /** Time between two sends of an order that the engine doesn't report as carried out yet. */
    Duration resendPeriod = std::chrono::seconds(5);
    /** How long a load may take before the planner abandons it. */
    Duration loadTimeout = std::chrono::seconds(120);
    /** Number of consecutive failures of an order at which the planner abandons the load. */
    std::uint32_t maxFailures = 3;
    /** How long an engine gets no new load of a model whose load there was abandoned. */
    Duration enginePause = std::chrono::seconds(60);
};

/** State of an engine of the failure domain, as reported by the engine. */
struct EngineReport {
    BackendId backend;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::vector<std::string> models;
    bool leaving = false;
    /** Increases with each start of the engine. */
    std::uint64_t generation = 0;
};

/** By model: the engines of the failure domain that may load the model, according to the services' documents. */
using Catalogue = std::map<std::string, std::vector<BackendId>>;

/** A requested model that no engine can load. */
struct Blocked {
    std::string model;
    /** Number of recent requests that found no engine with the model. */
    std::uint32_t unserved = 0;
};

/**
 * @brief Decides which models each engine has to have, for one lease term.
 *
 * The planner keeps a desired state and compares it with the engines' reports. It orders each difference, repeatedly
 * until the engine reports it as carried out. This corrects lost orders, restarts of engines and late orders of a
 * former holder in the same way. The first report of an engine becomes its initial desired state.
 */
class Planner {
public:
    Planner(PlannerSettings settings, Instant startedAt);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    /** @brief Replaces the catalogue. Engines and models that the new one does not name are dropped. */
    void setCatalogue(Catalogue catalogue);
    /** @brief Applies an engine's report. Reports of engines outside the catalogue are ignored. */
    void onReport(const EngineReport& report, Instant now);
    /** @brief Leaves an engine out of planning until its next report, as an expected report did not arrive. */
    void onReportMissed(const BackendId& backend);
    /** @brief Counts a request that found no engine with the model. */
    void onUnserved(const std::string& model, Instant now);
    /** @brief Applies the answer to the last order sent to this engine. */
    void onAnswer(const BackendId& backend, bool accepted, Instant now);

    /** @return The orders to send now, urgent ones first; at most one order per engine. */
    [[nodiscard]] std::vector<Order> plan(Instant now);
    /** @return Requested models that no engine could load, as of the last call of `plan`. */
    [[nodiscard]] const std::vector<Blocked>& blocked() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::placement
