#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::load {

/** Address of a router's listener for callers, or of an engine. */
struct Target {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const Target&) const = default;
};

/** Client account whose credentials the requests carry. */
struct Account {
    std::string name;
    std::string key;

    [[nodiscard]] bool operator==(const Account&) const = default;
};

/** Command-line options of swiftlift-load. */
struct Options {
    std::vector<Target> routers;
    /** Engines that receive the paired requests directly, without a router; empty: no direct arm. */
    std::vector<Target> engines;
    std::vector<Account> accounts;
    std::string service;
    /** Arrivals per second in each arm. */
    double rate = 10;
    std::chrono::seconds duration { 10 };
    /** Arrivals before this time are sent, but left out of the results. */
    std::chrono::seconds warmUp { 0 };
    std::uint32_t minPromptTokens = 100;
    std::uint32_t maxPromptTokens = 100;
    /** Share of prompts, 0 to 1, that begin with one of `prefixes` common prefixes. */
    double sharedPrefixShare = 0;
    std::uint32_t prefixes = 8;
    /** Every n-th arrival sends the same prompt, which begins with `poison`; 0: none. */
    std::uint32_t poisonInterval = 0;
    std::uint32_t maxTokens = 64;
    bool stream = true;
    /** Share of requests, 0 to 1, that may run only once. */
    double nonIdempotentShare = 0;
    std::chrono::milliseconds deadline { 30'000 };
    std::uint64_t seed = 1;
    /** Ids of the processes whose processor time and memory are read before and after the run. */
    std::vector<int> processes;
    /** File for the JSON results. Empty: no JSON. `-`: standard output, instead of the table. */
    std::string jsonFile;
    bool help = false;
};

/** Text of --help. */
extern const char* const usage;

/**
 * @brief Parses the command line.
 * @param findings Receives one finding per error in the command line.
 * @return The options; valid only if no finding was added.
 */
[[nodiscard]] Options parseOptions(int argc, char** argv, Findings& findings);

} // namespace swiftlift::load
