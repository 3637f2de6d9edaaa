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
    /** Scheduled time, from the start of the run. */
    std::chrono::microseconds due {};
    /** True: sent directly to an engine. False: sent to a router. */
    bool direct = false;
    /** Index into the routers, or into the engines if `direct`. */
    std::size_t target = 0;
    /** Index into the accounts. */
    std::size_t account = 0;
    /** Number of the arrival, the same for its routed and its direct request. */
    std::uint64_t pair = 0;
    std::uint32_t promptTokens = 0;
    /** Number of the common prefix, from 1; 0: none. */
    std::uint32_t prefix = 0;
    bool idempotent = true;
    /** True: the prompt is the one that all poison requests share. */
    bool poison = false;
    /** False: due before the end of the warm-up, and left out of the results. */
    bool counted = true;
};

/**
 * @brief Computes all requests of a run before it starts: exponential gaps, sizes and targets from one seed.
 *
 * If engines are given, each arrival is a pair of requests of the same size, one routed and one direct. Their order is
 * random, and the second is sent half a mean gap after the first. Both arms therefore have the same sizes and the same
 * rate, and neither arm always finds the engines busy with requests of the other.
 *
 * @return The requests, sorted by scheduled time.
 */
[[nodiscard]] std::vector<Arrival> makeSchedule(const Options& options);

/** @return The prompt of an arrival, four bytes per token. The requests of a pair have different prompts. */
[[nodiscard]] std::string makePrompt(const Arrival& arrival, std::uint64_t seed);

} // namespace swiftlift::load
