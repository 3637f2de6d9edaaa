#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/Percentiles.h"
#include "load/Processes.h"
#include "load/Result.h"

namespace swiftlift::load {

/** Results of all requests of one arm (routed or direct) after the warm-up. */
struct ArmSummary {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t tokens = 0;
    /** Number of requests by reason code. */
    std::map<std::string, std::uint64_t> refused;
    std::map<std::string, std::uint64_t> unknown;
    std::map<std::string, std::uint64_t> errors;
    /** Time to the first token, of answered requests only. */
    Percentiles firstToken;
    /** Time between successive tokens, of answered requests only. */
    Percentiles betweenTokens;
    /** Time to the end of the answer, of answered requests only. */
    Percentiles whole;
    /** Delay of the client in sending, of all requests. */
    Percentiles late;
};

/** Routed minus direct times, of the pairs whose two requests were both answered. */
struct AddedSummary {
    std::uint64_t pairs = 0;
    Percentiles firstToken;
    /** Difference of the mean times between tokens. */
    Percentiles betweenTokens;
    Percentiles whole;
};

/** Resource usage of a process during the run. Memory in bytes. */
struct ProcessSummary {
    /** Process id. */
    int process = 0;
    /** True: the process existed before and after the run. */
    bool found = false;
    double processorSeconds = 0;
    double residentBefore = 0;
    double residentAfter = 0;
    double residentPeak = 0;
    double threads = 0;
};

/** Results of a run. */
struct Summary {
    ArmSummary routed;
    ArmSummary direct;
    AddedSummary added;
    std::vector<ProcessSummary> processes;
    /** Duration of the run until the last request ended. */
    double seconds = 0;
};

/** @return The summary of both arms and of their differences; without process figures and duration. */
[[nodiscard]] Summary summarise(const std::vector<Result>& results);

/** @return One summary per process, from the readings before and after the run in the same order. */
[[nodiscard]] std::vector<ProcessSummary> compareReadings(
    const std::vector<ProcessReading>& before, const std::vector<ProcessReading>& after);

} // namespace swiftlift::load
