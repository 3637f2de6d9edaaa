#include <thread>

#include <gtest/gtest.h>

#include "swiftlift/transport/HttpClient.h"
#include "transport/Network.h"

namespace swiftlift::transport::test {
namespace {

    /** A server, such as the log, that ends its connections within its answers. */
    class HttpClientTest : public testing::Test {
    protected:
        /** @return What a call gets from a server that sends these bytes and closes the connection in order. */
        [[nodiscard]] std::optional<HttpResponse> callOf(const std::string& bytes)
        {
            std::thread serving([&] {
                Connection connection = server_.accept();
                static_cast<void>(connection.readRequest());
                connection.write(bytes);
                connection.close();
            });
            HttpClient client(*parseEndpoint(server_.address()));
            auto answer = client.call({ "GET", "/x", {}, {} }, longWait);
            serving.join();
            return answer;
        }

        Listener server_;
    };

    // Guards against a part of an answer that is taken for the whole, as an empty list or an executed write.
    TEST_F(HttpClientTest, PartOfAnAnswerIsNoAnswer)
    {
        const std::string answer = jsonAnswer(200, R"({"records":[]})");
        for (std::size_t bytes = 1; bytes < answer.size(); ++bytes) {
            EXPECT_FALSE(callOf(answer.substr(0, bytes))) << bytes;
        }
        ASSERT_TRUE(callOf(answer));
    }

    // Guards against the same where the head ended before the length, so that the connection's end looks like the
    // answer's: the end of a process that answers ends its connections in order, too.
    TEST_F(HttpClientTest, AnswerWithoutALengthIsNoAnswer)
    {
        EXPECT_FALSE(callOf("HTTP/1.1 200 OK\r\n\r\n"));
        EXPECT_FALSE(callOf("HTTP/1.1 200 OK\r\nContent-Type: application/x-protobuf\r\n\r\npart"));
    }

    // Guards against an answer of a server in trouble that is taken for one although its status is none.
    TEST_F(HttpClientTest, AnswerWithoutAStatusIsNoAnswer)
    {
        for (const int status : { 0, 1, 99, 600, 999 }) {
            const std::string digits = std::to_string(status);
            const std::string head = "HTTP/1.1 " + std::string(3 - digits.size(), '0') + digits + " x\r\n";
            EXPECT_FALSE(callOf(head + "Content-Length: 2\r\n\r\n{}")) << status;
            EXPECT_FALSE(callOf(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")) << status;
        }
        EXPECT_TRUE(callOf("HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\n{}"));
    }

    TEST_F(HttpClientTest, ChunksAndStatusesWithoutABodyAreWhole)
    {
        const auto chunks = callOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n");
        ASSERT_TRUE(chunks);
        EXPECT_EQ(chunks->body, "full");
        EXPECT_FALSE(callOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n"));
        EXPECT_TRUE(callOf("HTTP/1.1 204 No Content\r\n\r\n"));
    }

} // namespace
} // namespace swiftlift::transport::test
