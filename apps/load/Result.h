#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load/Schedule.h"

namespace swiftlift::load {

/** Outcome of a request, as the client saw it. */
enum class ResultKind : std::uint8_t {
    /** Complete answer: every token in order, and a valid final line. */
    Answered,
    Refused,
    Unknown,
    /** Connection error, or a response that violates the protocol. */
    Error,
};

/** Outcome and timing of one request. */
struct Result {
    Arrival arrival;
    ResultKind kind = ResultKind::Error;
    /** Reason code; empty for answered requests. */
    std::string reason;
    /** Delay between the scheduled time and the time of sending. */
    std::chrono::microseconds late {};
    /** Time from the scheduled time to the first token; zero if no token arrived. */
    std::chrono::microseconds firstToken {};
    /** Time from the scheduled time to the end of the request. */
    std::chrono::microseconds whole {};
    /** Times between successive tokens. */
    std::vector<std::chrono::microseconds> gaps;
    std::uint64_t tokens = 0;
    std::uint64_t bytes = 0;
};

} // namespace swiftlift::load
