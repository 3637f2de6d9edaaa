#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/ExploreWorld.h"

namespace swiftlift::ledger::explore {

struct SearchResult {
    std::size_t states = 0;
    std::size_t depth = 0;
    /** Whether every state within the depth was visited. */
    bool complete = false;
    std::string violation;
    /** The steps that lead to the violation. */
    std::vector<std::string> schedule;
};

enum class Look : std::uint8_t { ForAnyViolation, ForOverspend };

/**
 * @brief Visits every state that the setup can reach within `maxDepth` steps, each once.
 *
 * Breadth first, not depth first: a state met again is then never met at a smaller depth, so a depth bound leaves
 * nothing out, and the first schedule found is a shortest one.
 */
[[nodiscard]] SearchResult search(const Setup& setup, const Behaviour& behaviour, std::size_t maxDepth,
    std::size_t maxStates, Look look = Look::ForAnyViolation);

[[nodiscard]] std::string textOf(const SearchResult& result);

} // namespace swiftlift::ledger::explore
