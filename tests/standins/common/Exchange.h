#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/Signal.h"
#include "common/Types.h"

namespace swiftlift::standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** Bytes of bodies that came in and went out over HTTP. */
struct ByteCounts {
    std::uint64_t in = 0;
    std::uint64_t out = 0;
};

/** One connection, shared by the coroutine that serves it and the operation that watches for its end. */
struct Connection {
    explicit Connection(Tcp::socket accepted);

    /** Closes it without a further byte, and wakes whoever waits for its end. */
    void close();

    Tcp::socket socket;
    std::string remoteAddress;
    /** The other side has closed, or we have. */
    bool closed = false;
    Signal closing;
};

/**
 * @brief A request and the means to answer it.
 *
 * Failed writes aren't errors to the handler: the connection counts as closed from then on.
 */
class Exchange {
public:
    Exchange(std::shared_ptr<Connection> connection, const HttpRequest& request, ByteCounts& counts);

    /** @return The path without the query. */
    [[nodiscard]] const std::string& path() const noexcept { return path_; }
    [[nodiscard]] bool isPost() const;
    [[nodiscard]] const std::string& body() const { return request_.body(); }
    /** @return The header's value; empty without the header. */
    [[nodiscard]] std::string header(std::string_view name) const;
    /** @return The parameter's value as it stands in the query; empty without the parameter. */
    [[nodiscard]] std::string parameter(std::string_view name) const;
    /** @return The parameter as a number; `fallback` when it is missing or isn't one. */
    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
    [[nodiscard]] const std::string& remoteAddress() const noexcept { return connection_->remoteAddress; }
    [[nodiscard]] bool isClosed() const noexcept { return connection_->closed; }
    [[nodiscard]] bool isAnswered() const noexcept { return answered_; }

    /** Waits for the signal, the deadline or the connection's end. */
    [[nodiscard]] Awaitable<void> wait(Signal& signal, Clock::time_point deadline = Clock::time_point::max());
    /** Waits for the duration or the connection's end. */
    [[nodiscard]] Awaitable<void> sleep(Milliseconds duration);

    /** Goes with the answer, or with the head of the stream, that follows. */
    void setHeader(std::string name, std::string value) { headers_.emplace_back(std::move(name), std::move(value)); }
    [[nodiscard]] Awaitable<void> answer(unsigned status, std::string contentType, std::string body);
    [[nodiscard]] Awaitable<void> answerJson(unsigned status, Json body);
    /** Answers `{"error":"problem"}`. */
    [[nodiscard]] Awaitable<void> answerError(unsigned status, std::string problem);
    /** The answer or stream that follows has neither a length nor chunks: it ends with its connection. */
    void endWithConnection() { framed_ = false; }
    /** Starts a chunked answer with status 200. */
    [[nodiscard]] Awaitable<void> startStream(std::string contentType = "application/x-ndjson");
    [[nodiscard]] Awaitable<void> writeChunk(std::string data);
    [[nodiscard]] Awaitable<void> endStream();
    /** Closes the connection without a further byte. */
    void drop();
    /** Resets the connection, as the system of a process that has crashed may do. */
    void reset();

private:
    std::shared_ptr<Connection> connection_;
    const HttpRequest& request_;
    ByteCounts& counts_;
    std::string path_;
    std::string query_;
    std::vector<std::pair<std::string, std::string>> headers_;
    bool answered_ = false;
    bool framed_ = true;
};

} // namespace swiftlift::standins
