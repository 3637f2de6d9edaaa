#pragma once

#include <cstdint>

namespace swiftlift::request {

/** @brief The final outcome of a request, as reported to the caller. */
enum class Outcome : std::uint8_t {
    /** The request ran and its answer went to the caller. */
    Answered,
    /** The request has certainly not run, and will not run unless the caller retries. */
    NotRun,
    /** The request may have run, may be running, or may run later. */
    Unknown,
};

/** @brief How an attempt at a backend server ended. */
enum class AttemptEnd : std::uint8_t {
    /** The whole answer was received. */
    Completed,
    /** The backend server certainly did not start the request: connection refused, status 429 or 503. */
    NotStarted,
    /** The request was not started, as in NotStarted, and the backend server announced that it is leaving. */
    Leaving,
    /** The connection broke after the request may have been sent: the request may have run. */
    Broken,
};

} // namespace swiftlift::request
