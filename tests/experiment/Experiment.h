#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "node/FakeFleet.h"

namespace swiftlift::experiment {

/** Distribution of a fleet's VMs over failure domains, its load, and the tokens that its accounts buy. */
struct Shape {
    std::string name;
    /** The failure domain of each VM. */
    std::vector<std::string> vms;
    std::size_t accounts = 10;
    /** Requests per second of all accounts together; the first two accounts send half of them. */
    double rate = 40;
    /** Duration of the load in seconds. */
    int seconds = 120;
    /** Tokens bought, as a share of the expected cost of the load. */
    double boughtShare = 1.2;
};

/** Failure scenario. */
struct Failure {
    std::string name;
    /** Called before each second of load; causes or ends failures in the fleet. */
    std::function<void(node::testing::FakeFleet&, int second)> apply;
};

/** Policy for holding budgets, with the values of the fleet's settings. */
struct Policy {
    std::string name;
    /** How a router holds parts of an account's budget, such as `grants`. */
    std::string holdingPolicy;
    /** What holding avoids more: `refusals` or `overspend`. */
    std::string weighting;
};

/** Counts of one run, taken from all replies and the complete ledger. */
struct Result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /** Refused for lack of budget although the account's unspent tokens covered the cost. */
    std::uint64_t falseRefusals = 0;
    /** Refused for lack of budget, and the account's unspent tokens did not cover the cost. */
    std::uint64_t trueRefusals = 0;
    std::uint64_t otherRefusals = 0;
    std::uint64_t unknown = 0;
    /** Requests answered but not billed in the ledger at the end. */
    std::uint64_t unbilled = 0;
    /** Tokens billed in excess of the tokens bought. */
    std::int64_t overspend = 0;
    /** Tokens held by grants and not billed, one minute after all failures ended. */
    std::int64_t stranded = 0;
    double appendsPerSecond = 0;
    double peerBytesPerVmSecond = 0;
    double logBytesPerVmSecond = 0;
};

/** @brief Runs one load under one failure and one policy. Equal arguments give equal results. */
[[nodiscard]] Result runExperiment(
    const Shape& shape, const Failure& failure, const Policy& policy, std::uint64_t seed);

} // namespace swiftlift::experiment
