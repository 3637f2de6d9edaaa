#include "swiftlift/streams/VersionBook.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace swiftlift::streams {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 100s };
    const SoftwareVersion v1 { "v1" };
    const SoftwareVersion v2 { "v2" };

    TEST(VersionBook, RemembersAStreamForItsLifetime)
    {
        VersionBook book(10, 60s);
        book.add(StreamId("a"), v1, start);
        EXPECT_EQ(book.find(StreamId("a"), start + 60s), v1);
        EXPECT_FALSE(book.find(StreamId("a"), start + 61s));
        EXPECT_FALSE(book.find(StreamId("b"), start));
    }

    // Guards against a stream that changes its version because a report arrives twice or is wrong.
    TEST(VersionBook, FirstVersionStays)
    {
        VersionBook book(10, 60s);
        book.add(StreamId("a"), v1, start);
        book.add(StreamId("a"), v2, start + 1s);
        EXPECT_EQ(book.find(StreamId("a"), start + 2s), v1);
    }

    TEST(VersionBook, ForgetsTheOldestWhenItIsFull)
    {
        VersionBook book(100, 60s);
        for (int number = 0; number < 1000; ++number) {
            book.add(StreamId(std::to_string(number)), v1, start);
        }
        EXPECT_EQ(book.size(), 100U);
        EXPECT_FALSE(book.find(StreamId("0"), start));
        EXPECT_EQ(book.find(StreamId("999"), start), v1);
    }

} // namespace
} // namespace swiftlift::streams
