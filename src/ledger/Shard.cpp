#include "swiftlift/ledger/Shard.h"

#include <cassert>
#include <string>

#include <xxhash.h>

namespace swiftlift::ledger {

std::uint32_t shardOf(const AccountId& account, std::uint32_t shards)
{
    assert(shards > 0 && "there is at least one shard");
    // A hash that differs between releases would look for an account's money in another stream; std::hash may differ.
    const auto hash = XXH64(account.value().data(), account.value().size(), 0);
    return static_cast<std::uint32_t>(hash % shards);
}

StreamName ledgerStream(std::uint32_t shard) { return StreamName("ledger-" + std::to_string(shard)); }

} // namespace swiftlift::ledger
