#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/transport/ControlTraffic.h"
#include "swiftlift/transport/HttpClient.h"

namespace swiftlift::transport::internal {

/** HTTP calls to one address, one at a time, over a connection that is kept. Lives in one loop. */
class AsyncHttpClient : public std::enable_shared_from_this<AsyncHttpClient> {
public:
    /** Called with the answer, or with nothing when none came. */
    using Done = std::function<void(std::optional<HttpResponse>)>;

    AsyncHttpClient(boost::asio::io_context& loop, Endpoint endpoint, TrafficCounter& traffic);

    /** Must not be called before the former call is done. */
    void call(boost::beast::http::request<boost::beast::http::string_body> request, std::chrono::milliseconds limit,
        Done done);

    /** Calls end without an answer, and without having been written, once `allowed` says no. */
    void sendOnlyWhile(std::function<bool()> allowed) { allowed_ = std::move(allowed); }

    /** A call under way ends without an answer. */
    void close();

private:
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void answered(ErrorCode error);
    void finish(std::optional<HttpResponse> answer);

    boost::asio::io_context& loop_;
    Endpoint endpoint_;
    TrafficCounter& traffic_;
    boost::beast::tcp_stream stream_;
    bool connected_ = false;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    Done done_;
    std::function<bool()> allowed_;
};

} // namespace swiftlift::transport::internal
