#include "transport/HttpText.h"

#include <chrono>
#include <optional>
#include <utility>

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion = 11;
    constexpr const char* jsonType = "application/json";
    constexpr const char* linesType = "application/x-ndjson";

} // namespace

bool hasUnknownCoding(const http::fields& fields)
{
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (first == last) {
        return false;
    }
    return std::next(first) != last || !boost::beast::iequals(first->value(), "chunked");
}

std::string jsonReply(int status, std::string body, bool keepAlive, std::optional<Duration> retryAfter)
{
    http::response<http::string_body> reply { static_cast<http::status>(status), httpVersion };
    reply.set(http::field::content_type, jsonType);
    if (retryAfter) {
        reply.set(
            http::field::retry_after, std::to_string(std::chrono::ceil<std::chrono::seconds>(*retryAfter).count()));
    }
    reply.keep_alive(keepAlive);
    reply.body() = std::move(body);
    reply.prepare_payload();
    return toBytes(reply);
}

std::string streamHead(bool chunked, bool keepAlive)
{
    http::response<http::string_body> reply { http::status::ok, httpVersion };
    reply.set(http::field::content_type, linesType);
    reply.keep_alive(keepAlive);
    if (chunked) {
        reply.set(http::field::transfer_encoding, "chunked");
    }
    http::response_serializer<http::string_body> serializer(reply);
    serializer.split(true);
    std::string bytes;
    boost::system::error_code failed;
    while (!serializer.is_header_done() && !failed) {
        serializer.next(failed, [&](boost::system::error_code&, const auto& buffers) {
            bytes += boost::beast::buffers_to_string(buffers);
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return bytes;
}

std::string chunk(std::string_view bytes)
{
    return boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(bytes)));
}

std::string lastChunk() { return boost::beast::buffers_to_string(http::make_chunk_last()); }

http::request<http::string_body> jsonPost(const std::string& host, std::string_view target, std::string body)
{
    http::request<http::string_body> request { http::verb::post,
        boost::beast::string_view(target.data(), target.size()), httpVersion };
    request.set(http::field::host, host);
    request.set(http::field::content_type, jsonType);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace swiftlift::transport::internal
