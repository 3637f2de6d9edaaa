#include "ctl/HttpLog.h"

#include <thread>

#include <boost/asio.hpp>
#include <gmock/gmock.h>

#include "log.pb.h"

namespace swiftlift::ctl {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    /** Accepts one connection for each reply, in order, and sends the reply; an empty reply closes the connection. */
    class ScriptedServer {
    public:
        explicit ScriptedServer(std::vector<std::string> replies)
            : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , thread_([this, script = std::move(replies)] { serve(script); })
        {
        }

        ~ScriptedServer() { thread_.join(); }

        [[nodiscard]] settings::Endpoint endpoint() const
        {
            return settings::Endpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
        }

        /** Request lines without the HTTP version. Complete only after the last reply has been sent. */
        std::vector<std::string> requests;

    private:
        void serve(const std::vector<std::string>& replies)
        {
            for (const auto& reply : replies) {
                tcp::socket socket(context_);
                acceptor_.accept(socket);
                asio::streambuf buffer;
                asio::read_until(socket, buffer, "\r\n\r\n");
                std::istream in(&buffer);
                std::string line;
                std::getline(in, line);
                requests.push_back(line.substr(0, line.find(" HTTP")));
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(reply), ignored);
            }
        }

        asio::io_context context_;
        tcp::acceptor acceptor_;
        std::thread thread_;
    };

    std::string http(const std::string& status, const std::string& body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: close\r\n\r\n" + body;
    }

    std::string records()
    {
        proto::log::ReadReply reply;
        reply.set_first_offset(3);
        reply.add_records(std::string("a\0\r\n\xFF", 5));
        reply.set_end_offset(4);
        return reply.SerializeAsString();
    }

    const StreamName stream("ledger-0");
    constexpr Duration timeout = std::chrono::seconds(30);

} // namespace

TEST(HttpLog, ReadsBinaryRecordsAndReportsExpiredOffsets)
{
    ScriptedServer server({ http("200 OK", records()), http("410 Gone", R"({"oldest":7})"), http("410 Gone", "x") });
    HttpLog log({ server.endpoint() }, timeout);
    const auto answer = log.read(stream, Offset(3), std::chrono::milliseconds(250));
    ASSERT_TRUE(std::holds_alternative<ReadRecords>(answer));
    EXPECT_THAT(std::get<ReadRecords>(answer).records, testing::ElementsAre(std::string("a\0\r\n\xFF", 5)));
    EXPECT_EQ(std::get<ReadRecords>(answer).end, Offset(4));
    const auto expired = log.read(stream, Offset(0), {});
    ASSERT_TRUE(std::holds_alternative<ReadExpired>(expired));
    EXPECT_EQ(std::get<ReadExpired>(expired).oldest, Offset(7));
    EXPECT_TRUE(std::holds_alternative<ReadFailed>(log.read(stream, Offset(0), {})));
    EXPECT_EQ(server.requests.front(), "GET /streams/ledger-0/records?from=3&max=1000&wait_ms=250");
}

// If only the first endpoint were tried, operators could make no change while one endpoint fails. The first endpoint
// answers 503, the second drops the connection, the third works and is tried first from then on.
TEST(HttpLog, TriesEachEndpointAndKeepsUsingTheOneThatAnswers)
{
    ScriptedServer failing({ http("503 Unavailable", "") });
    ScriptedServer dropping({ "" });
    ScriptedServer working({ http("200 OK", ""), http("200 OK", records()) });
    HttpLog log({ failing.endpoint(), dropping.endpoint(), working.endpoint() }, timeout);
    EXPECT_TRUE(log.append(stream, "record"));
    EXPECT_TRUE(std::holds_alternative<ReadRecords>(log.read(stream, Offset(3), {})));
    EXPECT_EQ(working.requests.front(), "POST /streams/ledger-0/append");
}

TEST(HttpLog, ReportsWhyNoEndpointAnswers)
{
    ScriptedServer failing({ http("429 Too Many Requests", "") });
    HttpLog log({ failing.endpoint() }, timeout);
    EXPECT_FALSE(log.append(stream, "record"));
    EXPECT_EQ(log.lastReason(), failing.endpoint().value() + ": the log answered 429");
}

} // namespace swiftlift::ctl
