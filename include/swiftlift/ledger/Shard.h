#pragma once

#include <cstdint>

#include "swiftlift/base/Ids.h"

namespace swiftlift::ledger {

/**
 * @param account Client account; all its budgets are in one shard.
 * @param shards Number of `ledger-S` streams; the same for every router and operator, and never changed.
 * @return The shard, from 0.
 */
[[nodiscard]] std::uint32_t shardOf(const AccountId& account, std::uint32_t shards);

/** @return `ledger-S`. */
[[nodiscard]] StreamName ledgerStream(std::uint32_t shard);

} // namespace swiftlift::ledger
