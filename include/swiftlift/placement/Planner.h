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

struct PlannerSettings {
    /** Nothing is ordered before: reports of all engines come in first. */
    Duration warmUp = std::chrono::seconds(3);
    /** An engine with an older report gets no new model and counts for nothing. */
    Duration reportLifetime = std::chrono::seconds(5);
    /** Loads under way in the failure domain at once; the last one is kept for urgent ones. */
    std::uint32_t loadsInFlight = 2;
    /** Loads begun in a minute; half of them are kept for urgent ones. */
    std::uint32_t loadsPerMinute = 6;
    /** Models an engine can hold. */
    std::size_t modelsPerEngine = 2;
    /** Requests per slot above which a model wants another engine. */
    double busyUtilisation = 0.85;
    /** Only an engine below this takes one more; a copy is spared only if the rest stay below it. */
    double roomUtilisation = 0.5;
    /** How long a model has to be busy without a break. */
    Duration busyFor = std::chrono::seconds(10);
    /** Between two convenient loads of one model. */
    Duration modelPause = std::chrono::seconds(60);
    /** A model that was asked for this lately has demand. */
    Duration demandMemory = std::chrono::seconds(60);
    /** How long requests that found no engine make a load urgent. */
    Duration unservedMemory = std::chrono::seconds(10);
    /** A model stays at least this long where it was loaded. */
    Duration residence = std::chrono::seconds(120);
    /** Between two assertions of an order that is not reported yet. */
    Duration assertAgain = std::chrono::seconds(5);
    /** After this, or so many failures in a row, an engine is given up for the model. */
    Duration loadPatience = std::chrono::seconds(120);
    std::uint32_t failuresAllowed = 3;
    /** How long it is not asked again then. */
    Duration enginePause = std::chrono::seconds(60);
};

/** What an engine of the failure domain says of itself. */
struct EngineReport {
    BackendId backend;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::vector<std::string> models;
    bool leaving = false;
    /** Grows with each start of the engine. */
    std::uint64_t generation = 0;
};

/** Which engines of the failure domain may have a model, by the services' documents. */
using Catalogue = std::map<std::string, std::vector<BackendId>>;

/** A model that is asked for and that no engine can take. */
struct Blocked {
    std::string model;
    std::uint32_t unserved = 0;
};

/**
 * @brief Which model has to be on which engine, for one tenure of one holder of the order lease.
 *
 * It keeps the wished state and compares it with the reports; what differs is ordered, and ordered again until it is
 * reported. So a lost order, an engine's restart and a former holder's late order all mend alike. The first report of
 * an engine is its wished state to begin with.
 */
class Planner {
public:
    Planner(PlannerSettings settings, Instant startedAt);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;

    void setCatalogue(Catalogue catalogue);
    void onReport(const EngineReport& report, Instant now);
    void onReportMissed(const BackendId& backend);
    /** @brief A request found no engine with the model. */
    void onUnserved(const std::string& model, Instant now);
    /** @brief The answer to the last order to this engine. */
    void onAnswer(const BackendId& backend, bool accepted, Instant now);

    /** @return What has to be ordered now, urgent ones first; at most one order for an engine. */
    [[nodiscard]] std::vector<Order> plan(Instant now);
    /** @return Models that no engine could take, as of the last plan. */
    [[nodiscard]] const std::vector<Blocked>& blocked() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace swiftlift::placement
