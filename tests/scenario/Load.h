#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Callers.h"

namespace swiftlift::scenario {

/** An open loop of requests: they are sent at their times, whether or not earlier ones have been answered. */
struct LoadPlan {
    /** Each call is made like one of these, drawn with the seed; its id, prompt and router are its own. */
    std::vector<Call> models;
    std::vector<std::pair<std::string, Address>> routers;
    /** Requests a second, of all VMs together. */
    double rate = 10;
    Milliseconds duration { 5000 };
    std::uint64_t seed = 1;
    std::string idPrefix;
    /** Prompts are drawn from this many prefixes. */
    int prefixes = 8;
    /** The first is taken most often, as `skew` grows from 1, where all are equal. */
    double skew = 1;
    /** Length of a prefix. */
    int prefixBytes = 256;
    /** Of a hundred prompts, so many begin with a shared prefix; the others with one of their own. */
    int sharedPercent = 100;
    int promptBytes = 400;
    /** A refused or unknown request of an idempotent kind is asked again at another VM, at most so many times. */
    int retries = 0;
    /** Calls under way at once; a call that finds no place starts late and is counted. */
    int places = 192;
};

struct LoadCounts {
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t broken = 0;
    std::int64_t startedLate = 0;
};

/** Sends the load and waits for its last answer; everything seen goes to `callers`. */
[[nodiscard]] LoadCounts runLoad(const LoadPlan& plan, Callers& callers);

} // namespace swiftlift::scenario
