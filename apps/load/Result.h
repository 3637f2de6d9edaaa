#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load/Schedule.h"

namespace swiftlift::load {

enum class Kind : std::uint8_t {
    /** Whole: every token in order, and the last line as it has to be. */
    Answered,
    Refused,
    Unknown,
    /** Of the connection or the protocol: what the client saw is no answer that the protocol knows. */
    Error,
};

/** What came of one request. */
struct Result {
    Arrival arrival;
    Kind kind = Kind::Error;
    /** Of all but answers. */
    std::string reason;
    /** How much later than scheduled it was sent. */
    std::chrono::microseconds late {};
    /** From the scheduled moment; zero when none came. */
    std::chrono::microseconds firstToken {};
    std::chrono::microseconds whole {};
    std::vector<std::chrono::microseconds> gaps;
    std::uint64_t tokens = 0;
    std::uint64_t bytes = 0;
};

} // namespace swiftlift::load
