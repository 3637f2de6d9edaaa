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
#include "transport/LimitedTextBody.h"

namespace swiftlift::transport::internal {

/** Asynchronous HTTP client for one address: one call at a time, over a reused connection, in one event loop. */
class AsyncHttpClient : public std::enable_shared_from_this<AsyncHttpClient> {
public:
    /** Completion handler; receives the response, or `nullopt` if the call failed. */
    using Done = std::function<void(std::optional<HttpResponse>)>;

    AsyncHttpClient(boost::asio::io_context& loop, Endpoint endpoint, TrafficCounter& traffic);

    /**
     * @brief Starts a call. The previous call must have completed.
     * @param request The request to send.
     * @param limit Timeout for connecting, writing and reading together.
     * @param done Called once the call has completed.
     */
    void call(boost::beast::http::request<boost::beast::http::string_body> request, std::chrono::milliseconds limit,
        Done done);

    /**
     * @brief Sets a condition that is evaluated immediately before each request is written.
     * @param allowed While it returns false, calls fail without sending anything.
     */
    void setSendCondition(std::function<bool()> condition) { sendCondition_ = std::move(condition); }

    /** Closes the connection. A call in progress completes without a response. */
    void close();

private:
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::response_parser<LimitedTextBody>;

    void connect();
    void write();
    void read();
    void handleResponse(ErrorCode error);
    void finish(std::optional<HttpResponse> answer);

    boost::asio::io_context& loop_;
    Endpoint endpoint_;
    TrafficCounter& traffic_;
    boost::beast::tcp_stream stream_;
    bool connected_ = false;
    std::string requestBytes_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    Done done_;
    std::function<bool()> sendCondition_;
};

} // namespace swiftlift::transport::internal
