#include "swiftlift/transport/AnnouncementFields.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::transport {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr AnnouncementFields names { "Limit", "Leaving", "Brittle" };

    routing::Announcement read(int status, const HeaderFields& fields)
    {
        return readAnnouncement({ status, fields }, names);
    }

    TEST(AnnouncementFields, ReadsLimitLeavingAndRest)
    {
        EXPECT_EQ(read(200, { { "limit", "2.5" } }).limit, 2.5);
        EXPECT_TRUE(read(200, { { "Leaving", "1" } }).leaving);
        EXPECT_EQ(read(200, { { "Brittle", "5" } }).brittle, 5.0);
        EXPECT_EQ(read(503, { { "Retry-After", "3.5" } }).rest, milliseconds(3'500));
        EXPECT_EQ(read(429, { { "retry-after", "2" } }).rest, seconds(2));
        EXPECT_TRUE(read(200, {}).empty());
    }

    // Guards against a server that gets no requests, or too many, because of a value that can't be read.
    TEST(AnnouncementFields, InvalidValuesCountAsAbsent)
    {
        for (const char* value : { "", "many", "-2", "nan", "inf" }) {
            EXPECT_TRUE(read(503, { { "Limit", value }, { "Brittle", value }, { "Retry-After", value } }).empty())
                << value;
        }
        EXPECT_TRUE(read(200, { { "Leaving", "0" } }).empty());
        EXPECT_TRUE(read(200, { { "Retry-After", "3" } }).empty()) << "not a refusal";
    }

    TEST(AnnouncementFields, LongRestIsBounded)
    {
        EXPECT_EQ(read(503, { { "Retry-After", "100000000000000000000" } }).rest, std::chrono::hours(1));
    }

} // namespace
} // namespace swiftlift::transport
