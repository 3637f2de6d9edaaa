#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "swiftlift/base/Units.h"

namespace swiftlift::transport {

/** The next token of the answer. */
struct TokenLine {
    std::string token;
};
/** A token that the caller already has. */
struct RepeatedLine { };
/** A line of another request or another attempt, or no line at all; never to be passed on. */
struct ForeignLine {
    std::string reason;
};
/** Our line, but it can't be: tokens are missing, or there are more than were asked for. */
struct BrokenLine {
    std::string reason;
};
/** The last line of a whole answer. */
struct DoneLine {
    Tokens promptTokens;
    Tokens answerTokens;
    Tokens cachedPromptTokens;
};

using MatchedLine = std::variant<TokenLine, RepeatedLine, ForeignLine, BrokenLine, DoneLine>;

/**
 * @brief Decides which of an engine's lines belong to an attempt, and in which order.
 *
 * What goes wrong without it: an engine under load, or a link that crosses connections, hands one caller a token of
 * another one's answer, or hands a token late from an earlier attempt. It shows as a line whose key or attempt is not
 * ours, or whose index is not the next one. Such lines never reach the caller, and an answer with a hole is never
 * called whole.
 */
class LineMatcher {
public:
    /**
     * @param key The request's key, as 32 hexadecimal digits.
     * @param attempt The attempt, as the engine was told it.
     * @param next Index of the first token that the caller has not got.
     * @param most Most tokens of the answer; 0: no bound.
     */
    LineMatcher(std::string key, std::string attempt, std::int64_t next, std::int64_t most);

    [[nodiscard]] MatchedLine match(std::string_view line);

    /** @return Index of the first token that has not come. */
    [[nodiscard]] std::int64_t next() const noexcept { return next_; }

private:
    [[nodiscard]] MatchedLine matchIndex(std::int64_t index, std::string token);
    [[nodiscard]] MatchedLine matchDone(DoneLine done) const;

    std::string key_;
    std::string attempt_;
    std::int64_t next_;
    std::int64_t most_;
};

} // namespace swiftlift::transport
