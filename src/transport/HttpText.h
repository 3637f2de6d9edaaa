#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/node/Action.h"
#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport::internal {

/** @return Whether an answer may have this status: RFC 9110, section 15, has none below 100 or above 599. */
[[nodiscard]] constexpr bool isStatus(unsigned status) noexcept
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/**
 * @return Whether a message has another transfer coding than `chunked` alone. Its body's end is then unknown (RFC 9112,
 * section 6.3), or its bytes are not those of the content.
 */
[[nodiscard]] bool hasUnknownCoding(const boost::beast::http::fields& fields);

/** @return The serialized message. */
template <bool isRequest>
[[nodiscard]] std::string toBytes(boost::beast::http::message<isRequest, boost::beast::http::string_body>& message)
{
    std::string bytes;
    boost::beast::http::serializer<isRequest, boost::beast::http::string_body> serializer(message);
    boost::system::error_code failed;
    while (!serializer.is_done() && !failed) {
        serializer.next(failed, [&](boost::system::error_code&, const auto& buffers) {
            bytes += boost::beast::buffers_to_string(buffers);
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return bytes;
}

/** @return A complete HTTP answer with a JSON body. */
[[nodiscard]] std::string jsonReply(int status, std::string body, bool keepAlive, std::optional<Duration> retryAfter);

/**
 * @param chunked Whether chunked encoding is used; false for callers with HTTP/1.0.
 * @return Status line and header fields of a streamed answer.
 */
[[nodiscard]] std::string streamHead(bool chunked, bool keepAlive);

/** @return The bytes as one chunk of a chunked body. */
[[nodiscard]] std::string chunk(std::string_view bytes);

/** @return The end of a chunked body. */
[[nodiscard]] std::string lastChunk();

/** @return A POST request with a JSON body; the caller of this function adds further header fields. */
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> jsonPost(
    const std::string& host, std::string_view target, std::string body);

} // namespace swiftlift::transport::internal
