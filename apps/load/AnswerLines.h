#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "load/Result.h"

namespace swiftlift::load {

/**
 * @brief Parses the lines of a response incrementally and classifies the complete response.
 *
 * Supports the router's protocol towards callers and the engine's protocol, see docs/PROTOCOLS.md sections 1 and 2.
 */
class AnswerLines {
public:
    /**
     * @param result Receives the token count, the gaps between tokens and the time to the first token.
     * @param scheduledTime Time at which the schedule sends the request; the first token is timed from here.
     */
    AnswerLines(Result& result, std::chrono::steady_clock::time_point scheduledTime);

    /**
     * @brief Parses the complete lines received so far; keeps an incomplete line for the next call.
     * @param text Next bytes of the response body.
     * @param now Time at which the bytes arrived.
     */
    void consume(std::string_view text, std::chrono::steady_clock::time_point now);

    /**
     * @brief Ends the response body. A body without an outcome makes the result an error.
     * @param status HTTP status of the response.
     */
    void finish(int status);

private:
    void parseLine(const std::string& line, std::chrono::steady_clock::time_point now);
    void recordToken(std::int64_t index, std::chrono::steady_clock::time_point now);
    void fail(const std::string& reason);

    Result& result_;
    std::chrono::steady_clock::time_point scheduledTime_;
    std::chrono::steady_clock::time_point lastTokenTime_ {};
    std::string incompleteLine_;
    bool complete_ = false;
};

} // namespace swiftlift::load
