#include "swiftlift/ledger/Shard.h"

#include <cassert>
#include <string>

#include <xxhash.h>

namespace swiftlift::ledger {

std::uint32_t shardOf(const AccountId& account, std::uint32_t shards)
{
    assert(shards > 0 && "there must be at least one shard");
    // std::hash may differ between releases. A release with another hash would look for an account's tokens in the
    // wrong stream.
    const auto hash = XXH64(account.value().data(), account.value().size(), 0);
    return static_cast<std::uint32_t>(hash % shards);
}

StreamName ledgerStream(std::uint32_t shard) { return StreamName("ledger-" + std::to_string(shard)); }

} // namespace swiftlift::ledger
