#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "swiftlift/ledger/HoldingPolicy.h"

namespace swiftlift::ledger {

/** @brief Load and failures of one replay. */
struct ReplayScenario {
    std::string name;
    std::size_t routers = 91;
    std::int64_t bought = 24'000'000;
    double requestsPerSecond = 100;
    /** Relative load of the first routers; all others have 1. */
    std::vector<double> heavy { 12, 8, 8 };
    /** Time at which the load of the heavy routers moves to the last routers. */
    std::optional<Duration> moveAt {};
    /** Time at which the first router fails. */
    std::optional<Duration> failAt {};
};

/** @brief Counts of one replay. */
struct ReplayResult {
    std::uint64_t requests = 0;
    std::uint64_t atOnce = 0;
    std::uint64_t afterWait = 0;
    std::uint64_t refused = 0;
    /** Refusals while another router could have spent the tokens. */
    std::uint64_t refusedElsewhere = 0;
    std::uint64_t loanMessages = 0;
    std::uint64_t peakLoanMessages = 0;
    std::uint64_t loans = 0;
    /** Unspent tokens that the failed router had borrowed, and that it could have spent in total. */
    std::int64_t lostLoans = 0;
    std::int64_t lost = 0;
    std::map<std::size_t, std::uint64_t> refusedByRouter;
    std::map<std::int64_t, std::uint64_t> refusedBySecond;
};

/**
 * @brief Replays a load of one budget on real holders and witnesses over one fold, without a network: messages take 1
 * to 3 ms, and the log is unreachable twice for 8 s. Checks that the budget is not overspent.
 * @param seed Of the load and of the delays. The load doesn't depend on the terms.
 */
[[nodiscard]] ReplayResult replay(const ReplayScenario& scenario, const LoanTerms& terms, std::uint64_t seed);

} // namespace swiftlift::ledger
