#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/node/Action.h"
#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport::internal {

/** @return The message as it goes over the wire. */
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

/** @return A whole reply of JSON. */
[[nodiscard]] std::string jsonReply(int status, std::string body, bool keepAlive, std::optional<Duration> retryAfter);

/** @return Status line and headers of a stream of lines; chunked unless the caller speaks HTTP/1.0. */
[[nodiscard]] std::string streamHead(bool chunked, bool keepAlive);

/** @return One chunk. */
[[nodiscard]] std::string chunk(std::string_view bytes);

/** @return The end of a chunked body. */
[[nodiscard]] std::string lastChunk();

/** @return A POST with a JSON body, without the caller's own headers. */
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body> jsonPost(
    const std::string& host, std::string_view target, std::string body);

} // namespace swiftlift::transport::internal
