#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "load/Options.h"

namespace swiftlift::load {

/** One request of the schedule. */
struct Arrival {
    /** From the start of the run. */
    std::chrono::microseconds due {};
    /** True: straight to an engine. */
    bool direct = false;
    /** Index of the router, or of the engine. */
    std::size_t target = 0;
    /** Index of the account. */
    std::size_t account = 0;
    /** The same for the two arms of an arrival. */
    std::uint64_t pair = 0;
    std::uint32_t promptTokens = 0;
    /** Common prefix, from 1; 0: none. */
    std::uint32_t prefix = 0;
    bool idempotent = true;
    /** Asks for the same as all other poisonous ones. */
    bool poison = false;
    /** Before the end of the warm-up: not counted. */
    bool counted = true;
};

/**
 * @brief The whole run, worked out beforehand: exponential gaps, sizes and targets from one seed.
 *
 * With engines given, each arrival has a twin: a coin says which of the two goes first, the other follows half a mean
 * gap later. So both arms see the same sizes at the same rate, and neither always finds the engines busy with the
 * other.
 */
[[nodiscard]] std::vector<Arrival> makeSchedule(const Options& options);

/** @return The prompt of an arrival; of four bytes a token. The two arms have different prompts. */
[[nodiscard]] std::string promptOf(const Arrival& arrival, std::uint64_t seed);

} // namespace swiftlift::load
