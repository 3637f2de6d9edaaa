#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace swiftlift::standins {

struct EngineSettings {
    /** Shortest time of a step. */
    double stepMs = 3;
    /** What each sequence in the batch adds to a step. */
    double stepGrowthMs = 0.02;
    /** What each prompt token that isn't cached adds to the step that computes it. */
    double prefillTokenMs = 0.02;
    /** Most prompt tokens computed in one step. */
    std::uint64_t prefillChunk = 512;
    std::uint64_t maxBatch = 16;
    std::uint64_t maxWaiting = 64;
    /** Tokens that fit in memory, of running sequences and of cached prefixes. */
    std::uint64_t cacheTokens = 65536;
    double loadLagMs = 0;
    double eventLagMs = 0;
    /** Probability that a cache event is never published. */
    double eventGap = 0;
    /** 1: orders with an old fencing number are refused. */
    std::uint64_t checkFencing = 1;
    /** Time to load a model through the weight store, one after another. */
    double loadMs = 500;
    std::set<std::string> models {};
    std::uint64_t seed = 1;
};

} // namespace swiftlift::standins
