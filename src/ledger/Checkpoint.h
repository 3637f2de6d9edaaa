#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "ledger/FoldState.h"

namespace swiftlift::ledger::internal {

/** @return The state's bytes; equal states give equal bytes. */
[[nodiscard]] std::string encodeState(const FoldState& state);

/**
 * @param bytes What `encodeState` gave.
 * @param limits Limits of the reader, which have to be those of the writer.
 * @param reason Takes why the bytes can't be read.
 * @return The state, or nothing.
 */
[[nodiscard]] std::optional<FoldState> decodeState(
    std::string_view bytes, const FoldLimits& limits, std::string& reason);

} // namespace swiftlift::ledger::internal
