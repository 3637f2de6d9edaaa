#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Auditor.h"
#include "BackgroundLoads.h"
#include "BillsInFlight.h"
#include "Callers.h"
#include "Fleet.h"
#include "LuaRuntime.h"

namespace swiftlift::scenario {

/** A service as the scenario published it. */
struct PublishedService {
    bool isModel = true;
    std::int64_t callCost = 0;
    /** Account to budget. */
    std::map<std::string, std::string> budgets;
};

/**
 * @brief Everything of one run that the verbs act on.
 */
class World {
public:
    World(std::filesystem::path programs, std::filesystem::path folder, std::uint64_t seed);
    ~World();

    /** @return The fleet; throws when the script has not built it yet. */
    [[nodiscard]] Fleet& fleet();
    void build(Fields& fields);

    /** Runs `swiftliftctl` to its end. @return Its exit status and what it printed. */
    [[nodiscard]] std::pair<int, std::string> runCtl(const std::vector<std::string>& arguments);

    /** Starts `swiftliftctl`. @return Its handle. */
    [[nodiscard]] std::size_t startCtl(const std::vector<std::string>& arguments);
    /** Waits for its end. @return Its exit status and what it printed. */
    [[nodiscard]] std::pair<int, std::string> waitForCtl(std::size_t handle);

    /** @return Everything that has been seen and recorded. */
    [[nodiscard]] Evidence evidence();
    /** Kills processes at once, and marks how far the ledger had come when routers were among them. */
    void kill(const std::vector<std::string>& names);
    /** @return For each kill of routers, in order, the answers whose bills were in flight. */
    [[nodiscard]] std::vector<std::pair<KillMark, std::vector<BillInFlight>>> billsInFlight();

    /** Waits until every answered request is billed in the log, at most so long, then audits. */
    [[nodiscard]] AuditReport audit(Milliseconds bound);

    [[nodiscard]] BackgroundLoads& loads() noexcept { return loads_; }
    [[nodiscard]] Callers& callers() noexcept { return callers_; }
    [[nodiscard]] std::uint64_t seed() const noexcept { return seed_; }
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return folder_; }

    std::map<std::string, std::string> accountKeys;
    std::map<std::string, PublishedService> services;
    std::vector<Purchase> purchases;
    /** Calls with a drawn id so far. */
    std::uint64_t drawnIds = 0;

private:
    std::filesystem::path programs_;
    std::filesystem::path folder_;
    std::uint64_t seed_;
    // The order matters: the callers' threads end when the fleet's connections break, so the fleet goes first.
    Callers callers_;
    BackgroundLoads loads_;
    std::unique_ptr<Fleet> fleet_;
    std::vector<std::unique_ptr<Process>> ctls_;
    std::vector<KillMark> kills_;
};

void addFleetVerbs(LuaRuntime& lua, World& world);
void addOperatorVerbs(LuaRuntime& lua, World& world);
void addRequestVerbs(LuaRuntime& lua, World& world);
void addCheckVerbs(LuaRuntime& lua, World& world);

} // namespace swiftlift::scenario
