#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/Percentiles.h"
#include "load/Processes.h"
#include "load/Result.h"

namespace swiftlift::load {

/** What came of all counted requests of one arm. */
struct ArmSummary {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t tokens = 0;
    std::map<std::string, std::uint64_t> refused;
    std::map<std::string, std::uint64_t> unknown;
    std::map<std::string, std::uint64_t> errors;
    /** Of answered requests only. */
    Percentiles firstToken;
    Percentiles betweenTokens;
    Percentiles whole;
    /** How late the client itself was, of all. */
    Percentiles late;
};

/** Differences of pairs whose both arms were answered: routed less direct. */
struct AddedSummary {
    std::uint64_t pairs = 0;
    Percentiles firstToken;
    /** Of each pair's mean time between tokens. */
    Percentiles betweenTokens;
    Percentiles whole;
};

struct ProcessSummary {
    int process = 0;
    bool found = false;
    double processorSeconds = 0;
    double residentBefore = 0;
    double residentAfter = 0;
    double residentPeak = 0;
    double threads = 0;
};

struct Summary {
    ArmSummary routed;
    ArmSummary direct;
    AddedSummary added;
    std::vector<ProcessSummary> processes;
    double seconds = 0;
};

[[nodiscard]] Summary summarise(const std::vector<Result>& results);

[[nodiscard]] std::vector<ProcessSummary> compare(
    const std::vector<ProcessReading>& before, const std::vector<ProcessReading>& after);

} // namespace swiftlift::load
