#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "swiftlift/base/Units.h"

namespace swiftlift::transport {

/** A line with the next token of the answer. */
struct TokenLine {
    std::string token;
};
/** A line with a token that the caller has already received. */
struct RepeatedLine {
    /** No line of this attempt had this index or a higher one before. */
    bool advances = true;
};
/** A line of another request or another attempt, or one that isn't a JSON object; must never reach the caller. */
struct ForeignLine {
    std::string reason;
};
/** A line of this attempt that is invalid: malformed, after missing tokens, or beyond the requested token count. */
struct BrokenLine {
    std::string reason;
};
/** The last line of a complete answer, with the engine's token counts. */
struct DoneLine {
    Tokens promptTokens;
    Tokens answerTokens;
    Tokens cachedPromptTokens;
};

using MatchedLine = std::variant<TokenLine, RepeatedLine, ForeignLine, BrokenLine, DoneLine>;

/**
 * @brief Checks that each line from an engine belongs to one attempt and carries the next token.
 *
 * An engine under load, or a link that mixes up connections, can deliver a token of another caller's answer, or a late
 * token of an earlier attempt. Such a line has a different key or attempt, or an index other than the next one. Such
 * lines are never passed to the caller, and an answer with missing tokens is never reported as complete.
 */
class LineMatcher {
public:
    /**
     * @param key The request's key, as 32 hexadecimal digits.
     * @param attempt The attempt's identifier that was sent to the engine.
     * @param next Index of the first token that the caller has not yet received.
     * @param maxTokens Maximum number of tokens in the answer; 0 means no maximum.
     */
    LineMatcher(std::string key, std::string attempt, std::int64_t next, std::int64_t maxTokens);

    /**
     * @param line A line from the engine, without its line break.
     * @return The line's classification and content.
     */
    [[nodiscard]] MatchedLine match(std::string_view line);

    /** @return Index of the first token that has not yet been received. */
    [[nodiscard]] std::int64_t next() const noexcept { return next_; }

private:
    [[nodiscard]] MatchedLine matchIndex(std::int64_t index, std::string token);
    [[nodiscard]] MatchedLine matchDone(DoneLine done) const;

    std::string key_;
    std::string attempt_;
    std::int64_t next_;
    /** Highest index of this attempt's lines; -1: none. */
    std::int64_t highest_ = -1;
    std::int64_t maxTokens_;
};

} // namespace swiftlift::transport
