#pragma once

#include <cstdint>

namespace swiftlift::request {

/** What a caller may be told in the end. */
enum class Outcome : std::uint8_t {
    Answered,
    /** Certainly not run, and it won't be unless the caller asks again. */
    NotRun,
    /** It may have run, or may be running. */
    Unknown,
};

/** What became of an attempt at a backend server. */
enum class AttemptEnd : std::uint8_t {
    /** The whole answer has come. */
    Completed,
    /** The backend server certainly did not start it: refused connection, 429, 503. */
    NotStarted,
    /** As NotStarted, and the backend server said that it is leaving. */
    Leaving,
    /** Broken off after the request may have been sent: it may have run. */
    Broken,
};

} // namespace swiftlift::request
