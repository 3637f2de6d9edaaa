#include "swiftlift/base/Numbers.h"

#include <gtest/gtest.h>

namespace swiftlift {
namespace {

    TEST(NumbersTest, ToHexIncludesLeadingZeros)
    {
        EXPECT_EQ(toHex(0), "0000000000000000");
        EXPECT_EQ(toHex(0xA1), "00000000000000a1");
        EXPECT_EQ(toHex(0xFEDCBA9876543210U), "fedcba9876543210");
    }

    TEST(NumbersTest, ParseWholeReadsHexadecimalDigits)
    {
        constexpr int base = 16;
        EXPECT_EQ(parseWhole<std::uint64_t>(toHex(0x123456789ABCDEFU), base), 0x123456789ABCDEFU);
    }

    TEST(NumbersTest, ParseDecimalRefusesWhatIsNoFiniteNumber)
    {
        EXPECT_EQ(parseDecimal("2.5"), 2.5);
        EXPECT_EQ(parseDecimal("3"), 3.0);
        EXPECT_EQ(parseDecimal("-1"), -1.0);
        for (const char* text : { "", "2.5x", " 2", "nan", "inf", "1e400", "," }) {
            EXPECT_EQ(parseDecimal(text), std::nullopt) << text;
        }
    }

} // namespace
} // namespace swiftlift
