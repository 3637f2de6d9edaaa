#include "swiftlift/ledger/Shard.h"

#include <gtest/gtest.h>

namespace swiftlift::ledger {

// Symptom: after an upgrade, accounts with money are refused. Sequence: a release computes shards by another hash.
// Cause: the shard of an account is part of what the log keeps. The values here may never change.
TEST(Shard, NeverChanges)
{
    EXPECT_EQ(shardOf(AccountId(""), 1024), 0xEF46DB3751D8E999U % 1024);
    EXPECT_EQ(shardOf(AccountId("a"), 1024), 0xD24EC4F1A98C6E5BU % 1024);
    EXPECT_EQ(shardOf(AccountId("regina-curling"), 1), 0U);
    EXPECT_EQ(ledgerStream(3), StreamName("ledger-3"));
}

} // namespace swiftlift::ledger
