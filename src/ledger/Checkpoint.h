#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "ledger/FoldState.h"

namespace swiftlift::ledger::internal {

/** @return The encoded state. Equal states are encoded in equal bytes. */
[[nodiscard]] std::string encodeState(const FoldState& state);

/**
 * @param bytes State encoded by `encodeState()`.
 * @param limits Limits of the reader, which must equal those of the writer.
 * @param reason Receives the cause when the state cannot be decoded.
 * @return The state, or `std::nullopt` when it cannot be decoded or is inconsistent.
 */
[[nodiscard]] std::optional<FoldState> decodeState(
    std::string_view bytes, const FoldLimits& limits, std::string& reason);

} // namespace swiftlift::ledger::internal
