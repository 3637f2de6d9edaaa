#pragma once

#include <string>
#include <string_view>

#include "swiftlift/base/Units.h"
#include "swiftlift/node/Action.h"

namespace swiftlift::transport {

// JSON texts towards callers, see docs/PROTOCOLS.md section 1.

/** A whole answer, as it was collected. */
struct WholeAnswer {
    std::string text;
    Tokens promptTokens;
    Tokens answerTokens;
};

/** @return The answer with its bill; `text` is left out of a stream's last line. */
[[nodiscard]] std::string answeredText(
    std::string_view requestId, const WholeAnswer& answer, Tokens billed, bool withText);

/** @return A refusal, or an outcome that is not known. */
[[nodiscard]] std::string notAnsweredText(std::string_view requestId, const node::Reply& reply);

/** @return One token of a stream, as a line. */
[[nodiscard]] std::string tokenLine(std::string_view token, std::int64_t index);

/**
 * @return A refusal of the transport's own, of a request that the core never saw. Its outcome is "not run", which holds
 * for this attempt alone: see outcomeUnseen().
 */
[[nodiscard]] node::Reply refusal(int status, std::string reason, std::string detail);

/** @return The refusal of a request that is one too many. */
[[nodiscard]] node::Reply overloadedRefusal(std::string detail);

/**
 * @param attempt What the caller's Swiftlift-Attempt says; empty: it was left out.
 * @return What may be said of a request that is refused before the core has seen it.
 */
[[nodiscard]] node::Outcome outcomeUnseen(std::string_view attempt);

} // namespace swiftlift::transport
