#pragma once

#include <string>
#include <string_view>

#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::transport {

// JSON texts that are sent to callers, see docs/PROTOCOLS.md section 1.

/** An answer's text, as collected so far, and its token counts. */
struct CollectedAnswer {
    std::string text;
    Tokens promptTokens;
    Tokens answerTokens;
};

/**
 * @param billed Tokens that are billed to the client account.
 * @param withText Whether the answer's text is included; false for the last line of a stream.
 * @return The answer as JSON.
 */
[[nodiscard]] std::string answeredText(
    std::string_view requestId, const CollectedAnswer& answer, Tokens billed, bool withText);

/** @return The JSON of a refusal, or of an unknown outcome. */
[[nodiscard]] std::string notAnsweredText(std::string_view requestId, const node::Reply& reply);

/** @return One token of a stream, as a JSON line. */
[[nodiscard]] std::string tokenLine(std::string_view token, std::int64_t index);

/**
 * @return A refusal by the transport, of a request that was not passed to the core. Its outcome is "not run", which is
 * true only of this attempt of the caller: see outcomeBeforeCore().
 */
[[nodiscard]] node::Reply refusal(int status, std::string reason, std::string detail);

/** @return The refusal of a request under overload. */
[[nodiscard]] node::Reply overloadedRefusal(std::string detail);

/**
 * @param attempt Value of the caller's Swiftlift-Attempt header; empty: absent.
 * @return The outcome to report for a request that is refused before it reaches the core.
 */
[[nodiscard]] node::Outcome outcomeBeforeCore(std::string_view attempt);

} // namespace swiftlift::transport
