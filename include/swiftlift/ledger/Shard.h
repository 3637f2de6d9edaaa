#pragma once

#include <cstdint>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger {

/**
 * @brief Returns the shard that stores a client account and all budgets of the account.
 * @param account Client account.
 * @param shards Number of shards, that is, of `ledger-S` streams. It is the same for all routers and operators' tools
 * and never changes.
 * @return The shard's number, from 0 to `shards - 1`.
 */
[[nodiscard]] std::uint32_t shardOf(const AccountId& account, std::uint32_t shards);

/** @return Name of the shard's stream: `ledger-S`, where S is `shard`. */
[[nodiscard]] StreamName ledgerStream(std::uint32_t shard);

} // namespace swiftlift::ledger
