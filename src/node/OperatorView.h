#pragma once

#include <string>

#include "node/CoreState.h"

namespace swiftlift::node {

/**
 * @param state The router's whole state.
 * @param question What an operator asks.
 * @return The answer as JSON, see docs/PROTOCOLS.md section 7.
 */
[[nodiscard]] std::string answerOperator(const CoreState& state, const OperatorAsked& question);

} // namespace swiftlift::node
