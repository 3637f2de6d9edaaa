#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "load/Result.h"

namespace swiftlift::load {

/**
 * @brief Reads an answer's lines as they come, and judges the whole.
 *
 * Speaks both protocols: a router's towards callers and an engine's, see docs/PROTOCOLS.md sections 1 and 2.
 */
class AnswerLines {
public:
    /** @param result Takes tokens, gaps and first token. @param scheduled When the request was due. */
    AnswerLines(Result& result, std::chrono::steady_clock::time_point scheduled);

    /** Takes some of the body, as it came. */
    void take(std::string_view text, std::chrono::steady_clock::time_point now);

    /** The body has ended. Sets kind and reason. */
    void finish(int status);

private:
    void takeLine(const std::string& line, std::chrono::steady_clock::time_point now);
    void takeToken(std::int64_t index, std::chrono::steady_clock::time_point now);
    void fail(const std::string& reason);

    Result& result_;
    std::chrono::steady_clock::time_point scheduled_;
    std::chrono::steady_clock::time_point lastToken_ {};
    std::string rest_;
    bool decided_ = false;
};

} // namespace swiftlift::load
