#include "swiftlift/fleet/Evacuations.h"

#include <gtest/gtest.h>

namespace swiftlift::fleet {
namespace {

    const FailureDomain east { "east" };
    const FailureDomain west { "west" };

    TEST(Evacuations, BeginAndEndInOrderOfTheStream)
    {
        Evacuations evacuations;
        EXPECT_EQ(evacuations.apply(Offset { 4 }, east, true), (EvacuationChange { east, true }));
        EXPECT_TRUE(evacuations.contains(east));
        EXPECT_FALSE(evacuations.contains(west));
        EXPECT_FALSE(evacuations.apply(Offset { 5 }, east, true)) << "requested again";
        EXPECT_EQ(evacuations.apply(Offset { 6 }, east, false), (EvacuationChange { east, false }));
        EXPECT_FALSE(evacuations.contains(east));
        EXPECT_EQ(evacuations.position(), Offset { 7 });
    }

    // Guards against requests to an evacuated domain after a late read or a record that is delivered twice.
    TEST(Evacuations, OldRecordRevertsNeitherAnEvacuationNorItsEnd)
    {
        Evacuations evacuations;
        (void)evacuations.apply(Offset { 3 }, east, false);
        (void)evacuations.apply(Offset { 8 }, east, true);
        EXPECT_FALSE(evacuations.apply(Offset { 3 }, east, false));
        EXPECT_TRUE(evacuations.contains(east));
        (void)evacuations.apply(Offset { 9 }, east, false);
        EXPECT_FALSE(evacuations.apply(Offset { 8 }, east, true));
        EXPECT_FALSE(evacuations.contains(east));
    }

    TEST(Evacuations, DeletedAndWrittenAgainAtOnceStaysEvacuated)
    {
        Evacuations evacuations;
        (void)evacuations.apply(Offset { 1 }, east, true);
        (void)evacuations.apply(Offset { 2 }, east, false);
        (void)evacuations.apply(Offset { 3 }, east, true);
        EXPECT_TRUE(evacuations.contains(east));
    }

    // Guards against an evacuation that ends unnoticed while its records are expired: the list of all keys shows it.
    TEST(Evacuations, ListReplacesTheStateUnlessItIsOlder)
    {
        Evacuations evacuations;
        (void)evacuations.apply(Offset { 10 }, east, true);
        EXPECT_TRUE(evacuations.replace(Offset { 10 }, {}).empty()) << "read before the record at offset 10";
        EXPECT_TRUE(evacuations.contains(east));
        const auto changes = evacuations.replace(Offset { 12 }, { west });
        ASSERT_EQ(changes.size(), 2U);
        EXPECT_EQ(changes[0], (EvacuationChange { east, false }));
        EXPECT_EQ(changes[1], (EvacuationChange { west, true }));
        EXPECT_FALSE(evacuations.apply(Offset { 11 }, west, false)) << "included in the list";
    }

    // Guards against a peer's old state that reverts what this router has read: a later read without any evacuation
    // counts as well.
    TEST(Evacuations, StateOlderThanTheLastReadIsIgnored)
    {
        Evacuations evacuations;
        evacuations.advance(Offset { 20 });
        EXPECT_TRUE(evacuations.replace(Offset { 19 }, { east }).empty());
        EXPECT_FALSE(evacuations.contains(east));
        evacuations.advance(Offset { 5 });
        EXPECT_EQ(evacuations.position(), Offset { 20 });
    }

} // namespace
} // namespace swiftlift::fleet
