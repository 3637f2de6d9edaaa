#include "swiftlift/transport/EventSplitter.h"

#include <gtest/gtest.h>

#include "swiftlift/transport/HeaderFields.h"

namespace swiftlift::transport::test {
namespace {

    TEST(EventSplitterTest, SplitsEventsForAnyReadSize)
    {
        const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight: 3\nid: 17\ndata: c\n\n";
        for (std::size_t step = 1; step < text.size(); ++step) {
            EventSplitter splitter(1024);
            std::string joined;
            std::vector<std::uint64_t> ids;
            for (std::size_t place = 0; place < text.size(); place += step) {
                splitter.add(text.substr(place, step));
                while (const auto event = splitter.next()) {
                    joined += event->bytes;
                    ids.push_back(event->id.value());
                }
            }
            EXPECT_EQ(joined, text) << step;
            EXPECT_EQ(ids, (std::vector<std::uint64_t> { 1, 2, 17 })) << step;
            EXPECT_FALSE(splitter.partial());
        }
    }

    // Guards against an event that joins the output of two engines: one crashes within an event, and another engine
    // resumes the stream. A partial event must not be forwarded.
    TEST(EventSplitterTest, IncompleteEventIsNotReturned)
    {
        EventSplitter splitter(1024);
        splitter.add("id: 1\ndata: a\n\nid: 2\nda");
        EXPECT_TRUE(splitter.next());
        EXPECT_FALSE(splitter.next());
        EXPECT_TRUE(splitter.partial());
    }

    TEST(EventSplitterTest, DetectsMissingIdAndTooLargeEvent)
    {
        EventSplitter splitter(16);
        splitter.add("data: x\n\n");
        EXPECT_EQ(splitter.next()->id, std::nullopt);
        splitter.add("id: 12x\n\n");
        EXPECT_EQ(splitter.next()->id, std::nullopt);
        splitter.add(std::string(17, 'x'));
        EXPECT_FALSE(splitter.next());
        EXPECT_TRUE(splitter.tooLarge());
    }

    TEST(HeaderFieldsTest, EndToEndRemovesHopByHopFields)
    {
        const HeaderFields kept = endToEnd({ { "Host", "a" }, { "connection", "close, X-Hop" }, { "x-hop", "1" },
            { "Transfer-Encoding", "chunked" }, { "Content-Length", "3" }, { "X-End", "2" } });
        EXPECT_EQ(kept, (HeaderFields { { "Host", "a" }, { "X-End", "2" } }));
        EXPECT_EQ(valueOf(kept, "x-end"), "2");
        EXPECT_EQ(valueOf(kept, "none"), std::nullopt);
        EXPECT_EQ(countOf({ { "a", "1" }, { "A", "2" } }, "a"), 2U);
    }

} // namespace
} // namespace swiftlift::transport::test
