#include "swiftlift/ledger/Shard.h"

#include <gtest/gtest.h>

namespace swiftlift::ledger {

// The account's shard determines the stream that stores its records, so the values here must never change. A release
// that computes shards with another hash would refuse requests of accounts that have tokens.
TEST(Shard, OfAnAccountNeverChanges)
{
    EXPECT_EQ(shardOf(AccountId(""), 1024), 0xEF46DB3751D8E999U % 1024);
    EXPECT_EQ(shardOf(AccountId("a"), 1024), 0xD24EC4F1A98C6E5BU % 1024);
    EXPECT_EQ(shardOf(AccountId("regina-curling"), 1), 0U);
    EXPECT_EQ(ledgerStream(3), StreamName("ledger-3"));
}

} // namespace swiftlift::ledger
