#pragma once

#include <string>

#include "node/CoreState.h"

namespace swiftlift::node {

/**
 * @brief Answers an operator's or a caller's question about this router's state.
 * @param state The router's state.
 * @param question The question: a topic and its argument.
 * @return The answer as JSON, see docs/PROTOCOLS.md section 7.
 */
[[nodiscard]] std::string answerOperator(const CoreState& state, const OperatorAsked& question);

} // namespace swiftlift::node
