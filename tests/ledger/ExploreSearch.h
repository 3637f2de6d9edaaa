#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/ExploreWorld.h"

namespace swiftlift::ledger::explore {

/** @brief Outcome of a search. */
struct SearchResult {
    /** Number of distinct states visited. */
    std::size_t states = 0;
    /** Largest number of steps from the start. */
    std::size_t depth = 0;
    /** Whether every state within the depth was visited. */
    bool complete = false;
    /** First broken property; empty when none was found. */
    std::string violation;
    /** The steps that lead to the violation. */
    std::vector<std::string> schedule;
};

/** @brief What a search looks for in each state. */
enum class CheckedProperty : std::uint8_t { AnyViolation, OverspendOnly };

/**
 * @brief Visits every state that the setup can reach within `maxDepth` steps, each once.
 *
 * Searches breadth first: each state is then first reached at its smallest depth, so the depth bound leaves no state
 * out, and the first schedule found is a shortest one.
 */
[[nodiscard]] SearchResult search(const Setup& setup, const FaultInjection& faults, std::size_t maxDepth,
    std::size_t maxStates, CheckedProperty property = CheckedProperty::AnyViolation);

/** @return Counts, violation and schedule as text for test output. */
[[nodiscard]] std::string textOf(const SearchResult& result);

} // namespace swiftlift::ledger::explore
