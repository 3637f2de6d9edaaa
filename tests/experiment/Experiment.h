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

/** How a fleet's VMs are spread over failure domains, and what its accounts buy. */
struct Shape {
    std::string name;
    /** The failure domain of each VM. */
    std::vector<std::string> vms;
    std::size_t accounts = 10;
    /** Requests per second of all accounts; the first two make half of them. */
    double rate = 40;
    /** Seconds of load. */
    int seconds = 120;
    /** Part of what the load would cost that is bought. */
    double bought = 1.2;
};

/** What fails, and when. */
struct Failure {
    std::string name;
    std::function<void(node::testing::FakeFleet&, int second)> at;
};

/** How budgets are held. */
struct Policy {
    std::string name;
    std::string holdingPolicy;
    std::string weighting;
};

/** What an all-seeing auditor counts. */
struct Result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /** Refused for budget though the account's unspent money would have covered it. */
    std::uint64_t falseRefusals = 0;
    /** Refused for budget, and the money was not there. */
    std::uint64_t trueRefusals = 0;
    std::uint64_t otherRefusals = 0;
    std::uint64_t unknown = 0;
    /** Answered and not billed in the ledger at the end. */
    std::uint64_t unbilled = 0;
    /** Billed above what was bought, in tokens. */
    std::int64_t overspend = 0;
    /** Held by grants at the end and not billed, in tokens, a minute after everything healed. */
    std::int64_t stranded = 0;
    double appendsPerSecond = 0;
    double peerBytesPerVmSecond = 0;
    double logBytesPerVmSecond = 0;
};

/** Runs one load under one failure and one policy. Equal arguments give equal results. */
[[nodiscard]] Result runExperiment(
    const Shape& shape, const Failure& failure, const Policy& policy, std::uint64_t seed);

} // namespace swiftlift::experiment
