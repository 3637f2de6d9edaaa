#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "swiftlift/base/Finding.h"

namespace swiftlift::load {

/** `ip:port` of a router's callers' listener or of an engine. */
struct Target {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const Target&) const = default;
};

struct Account {
    std::string name;
    std::string key;

    [[nodiscard]] bool operator==(const Account&) const = default;
};

struct Options {
    std::vector<Target> routers;
    /** Engines that get a paired load straight; empty: no direct arm. */
    std::vector<Target> engines;
    std::vector<Account> accounts;
    std::string service;
    /** Arrivals a second, to each arm. */
    double rate = 10;
    std::chrono::seconds duration { 10 };
    /** Arrivals before this are sent and not counted. */
    std::chrono::seconds warmUp { 0 };
    std::uint32_t promptTokensLeast = 100;
    std::uint32_t promptTokensMost = 100;
    /** Share of the prompts that begin with one of `prefixes` common prefixes. */
    double sharedPrefixShare = 0;
    std::uint32_t prefixes = 8;
    /** Each so many arrivals, one asks for the same as the last such one, its prompt beginning with `poison`; 0: none.
     */
    std::uint32_t poisonEvery = 0;
    std::uint32_t maxTokens = 64;
    bool stream = true;
    double nonIdempotentShare = 0;
    std::chrono::milliseconds deadline { 30'000 };
    std::uint64_t seed = 1;
    /** Processes whose processor time and memory are read before and after. */
    std::vector<int> processes;
    /** Empty: no JSON. `-`: standard output, in place of the table. */
    std::string jsonFile;
    bool help = false;
};

extern const char* const usage;

/**
 * @param findings Takes all that is wrong with the command line.
 * @return The options; to be used only when nothing was found.
 */
[[nodiscard]] Options parseOptions(int argc, char** argv, Findings& findings);

} // namespace swiftlift::load
