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

/** Maximum length of an account's or a budget's name in a record, in bytes. */
inline constexpr std::size_t maxNameBytes = 128;
/** Maximum length of a key's hash in a record, in bytes: a SHA-256 in hexadecimal. */
inline constexpr std::size_t maxKeyHashBytes = 64;

/** @return The batch encoded as one record of a `ledger-S` stream. */
[[nodiscard]] std::string encode(const Batch& batch);

/**
 * @brief Decodes one record.
 *
 * A record that cannot be decoded is void: all readers apply it as a batch without items. A record with a higher
 * version of the rules than `rulesVersion` is returned without its items, so that the fold stops at that record.
 * @param record Bytes from the log or from a peer.
 * @param reason Receives the cause when the record cannot be decoded.
 * @return The batch, or `std::nullopt` when the record cannot be decoded.
 */
[[nodiscard]] std::optional<Batch> decodeBatch(std::string_view record, std::string& reason);

void toProto(const GrantId& grant, proto::ledger::Grant& out);
void toProto(const BudgetRef& budget, proto::ledger::Budget& out);

/** @return The grant, or `std::nullopt`, with the cause in `reason`, when its holder or its number is missing. */
[[nodiscard]] std::optional<GrantId> fromProto(const proto::ledger::Grant& grant, std::string& reason);
/**
 * @return The budget, or `std::nullopt`, with the cause in `reason`, when the account's or the budget's name is missing
 * or longer than `maxNameBytes`.
 */
[[nodiscard]] std::optional<BudgetRef> fromProto(const proto::ledger::Budget& budget, std::string& reason);

} // namespace swiftlift::ledger
