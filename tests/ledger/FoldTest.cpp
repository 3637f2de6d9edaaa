#include "swiftlift/ledger/Fold.h"

#include <gtest/gtest.h>

#include "ledger/FoldFixture.h"

namespace swiftlift::ledger {

TEST_F(FoldFixture, AdmitsADrawUpToWhatWasBought)
{
    open(100);
    take(alice, Draw { grantOf(alice, 1), budget, Tokens { 60 }, {}, {} });
    take(bob, Draw { grantOf(bob, 1), budget, Tokens { 60 }, {}, {} });
    EXPECT_EQ(grant(alice, 1).amount, Tokens { 60 });
    EXPECT_EQ(grant(bob, 1).amount, Tokens { 40 });
    EXPECT_EQ(last<DrawDecided>().shortBy, Tokens { 20 });
    EXPECT_EQ(view().available(), Tokens { 0 });
}

} // namespace swiftlift::ledger
