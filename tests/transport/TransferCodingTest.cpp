#include <string>

#include <gmock/gmock.h>

#include "transport/ProxyFixture.h"

namespace swiftlift::transport::test {
namespace {

    using fleet::AnswerKind;
    using node::ProxyAttemptEnd;
    using node::ProxyAttemptEnded;

    /** Values of Transfer-Encoding that leave it open where a body ends, or what it contains. */
    constexpr const char* unknownCodings[]
        = { "gzip", "identity", "chunked, identity", "gzip, chunked", "chunked, chunked", "xchunked", "chunked;level=1",
              "\"chunked\"", "", "chunked\r\nTransfer-Encoding: identity", "identity\r\nTransfer-Encoding: chunked" };

    class TransferCodingTest : public ProxyFixture {
    protected:
        [[nodiscard]] static std::string requestHead(const std::string& coding, const std::string& version = "1.1")
        {
            return "POST /x HTTP/" + version + "\r\nHost: x\r\nId: outer\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
        }

        /** The caller sends a head, and a request of its own in place of the body. */
        void expectRefused(const std::string& head)
        {
            auto client = caller();
            client.write(head + proxyRequest());
            EXPECT_EQ(client.readResponse().result_int(), 400U) << head;
            EXPECT_TRUE(client.closes()) << head;
            EXPECT_FALSE(client.hasReceived()) << head;
        }

        /** Fails if a request arrived before that of a sound caller. */
        void expectNoArrivals()
        {
            auto client = caller();
            client.write(
                "POST /x HTTP/1.1\r\nHost: x\r\nId: sound\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
            EXPECT_EQ(nextEvent<node::ProxyRequestArrived>(decisions).facts.id, "sound");
        }
    };

    // Guards against a body that runs as a request of its own, because its transfer coding is taken for no body.
    TEST_F(TransferCodingTest, RequestWithAnUnknownCodingIsRefused)
    {
        startProxy();
        for (const char* const coding : unknownCodings) {
            expectRefused(requestHead(coding));
        }
        expectNoArrivals();
    }

    // Guards against the same where the request's length is stated too, or its version has no transfer codings.
    TEST_F(TransferCodingTest, RequestWithTwoFramingsIsRefused)
    {
        startProxy();
        for (const char* const coding : { "chunked", "gzip" }) {
            expectRefused("POST /x HTTP/1.1\r\nHost: x\r\nId: outer\r\nContent-Length: 5\r\nTransfer-Encoding: "
                + std::string(coding) + "\r\n\r\n");
            expectRefused("POST /x HTTP/1.1\r\nHost: x\r\nId: outer\r\nTransfer-Encoding: " + std::string(coding)
                + "\r\nContent-Length: 5\r\n\r\n");
            expectRefused(requestHead(coding, "1.0"));
        }
        expectNoArrivals();
    }

    // Guards against an answer whose coded bytes the caller takes for the backend server's body.
    TEST_F(TransferCodingTest, AnswerWithAnUnknownCodingIsBroken)
    {
        startProxy();
        std::uint64_t attempt = 0;
        for (const char* const coding : { "gzip", "identity", "gzip, chunked", "chunked, identity" }) {
            auto client = caller();
            static_cast<void>(dispatchNext(client, ++attempt, AnswerKind::Whole));
            auto engine = backend.accept();
            static_cast<void>(engine.readRequest());
            engine.write(headOf("Connection: close\r\nTransfer-Encoding: " + std::string(coding) + "\r\n")
                + "4\r\nfull\r\n0\r\n\r\n");
            engine.close();
            EXPECT_EQ(nextEvent<ProxyAttemptEnded>(decisions).end, ProxyAttemptEnd::Broken) << coding;
        }
    }

} // namespace
} // namespace swiftlift::transport::test
