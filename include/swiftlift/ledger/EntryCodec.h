#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "swiftlift/base/Ids.h"
#include "swiftlift/ledger/Entry.h"

namespace swiftlift::proto::ledger {
class Budget;
class Grant;
} // namespace swiftlift::proto::ledger

namespace swiftlift::ledger {

/** Longest name of an account or budget that a record may carry. */
inline constexpr std::size_t maxNameBytes = 128;
/** Length of a SHA-256 in hex, the longest hash of a key. */
inline constexpr std::size_t maxKeyHashBytes = 64;

/** @return The bytes of one record of a `ledger-S` stream. */
[[nodiscard]] std::string encode(const Batch& batch);

/**
 * @brief Reads one record.
 *
 * A record that can't be read is void: every reader takes it as a batch without items. A record of later rules is given
 * back without its items, so that the fold stops at it.
 * @param record Bytes from the log or from a peer.
 * @param reason Takes why the record can't be read.
 * @return The batch, or nothing.
 */
[[nodiscard]] std::optional<Batch> decodeBatch(std::string_view record, std::string& reason);

void toProto(const GrantId& grant, proto::ledger::Grant& out);
void toProto(const BudgetRef& budget, proto::ledger::Budget& out);

/** @return The grant, or nothing with a reason when its holder or its number is missing. */
[[nodiscard]] std::optional<GrantId> fromProto(const proto::ledger::Grant& grant, std::string& reason);
/** @return The budget, or nothing with a reason when a name is missing or too long. */
[[nodiscard]] std::optional<BudgetRef> fromProto(const proto::ledger::Budget& budget, std::string& reason);

} // namespace swiftlift::ledger
