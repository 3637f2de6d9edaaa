#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Callers.h"
#include "LedgerTruth.h"

namespace swiftlift::scenario {

/** Tokens that the runner bought, and when the purchase was confirmed. */
struct Purchase {
    std::string account;
    std::string budget;
    std::int64_t tokens = 0;
    Moment at;
};

/** What one backend server's own record says of one key. */
struct BackendRun {
    std::string backend;
    std::int64_t started = 0;
    std::int64_t completed = 0;
};

/** Everything that the auditor counts from; the routers' word is not among it. */
struct Evidence {
    std::vector<Observation> observations;
    /** By key in hex. */
    std::map<std::string, std::vector<BackendRun>> runs;
    LedgerTruth ledger;
    std::vector<Purchase> purchases;
    /** Budget that a service bills an account's calls to, as published: (service, account) to budget. */
    std::map<std::pair<std::string, std::string>, std::string> budgetOf;
    /** Cost of a call, by name of the plain service. */
    std::map<std::string, std::int64_t> callCost;
};

/** A count that has to be zero, or is at least of interest, and what it was counted from. */
struct AuditCount {
    std::string name;
    std::int64_t value = 0;
    std::string meaning;
    /** The first few cases. */
    std::vector<std::string> cases;
};

struct AuditReport {
    std::vector<AuditCount> counts;
    /** Milliseconds, by name. */
    std::vector<std::pair<std::string, double>> latencies;

    [[nodiscard]] std::int64_t value(const std::string& name) const;
    [[nodiscard]] bool has(const std::string& name) const;
    [[nodiscard]] nlohmann::json toJson() const;
    /** @return A table for people, with the cases of each violation. */
    [[nodiscard]] std::string toTable() const;
};

/** @return What the evidence says. */
[[nodiscard]] AuditReport audit(const Evidence& evidence);

} // namespace swiftlift::scenario
