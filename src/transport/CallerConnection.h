#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "swiftlift/transport/RequestParsing.h"
#include "transport/Deadline.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

class CallerConnection;

/** What a caller's connection tells. */
class CallerHost {
public:
    CallerHost() = default;
    virtual ~CallerHost() = default;
    CallerHost(const CallerHost&) = delete;
    CallerHost& operator=(const CallerHost&) = delete;

    /** A request has come whole; the connection waits for its answer. */
    virtual void requestCame(CallerConnection& connection, ParsedRequest request) = 0;
    /** The caller went away before its answer was written. */
    virtual void callerGone(CallerConnection& connection) = 0;
    /** The caller has taken most of what was written. */
    virtual void callerDrained(CallerConnection& connection) = 0;
    /** The connection is over. */
    virtual void connectionClosed(CallerConnection& connection) = 0;
};

/** One caller's connection: requests one after the other, each with a whole or a streamed answer. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(StreamContext& context, CallerHost& host, boost::asio::ip::tcp::socket socket);

    void start();

    /** Writes a whole answer; the request is over. */
    void reply(int status, std::string body, std::optional<Duration> retryAfter);

    /** Writes one line of a streamed answer; the first one is preceded by the status line. */
    void streamLine(std::string_view line);

    /** Writes the last line of a streamed answer; the request is over. */
    void endStream(std::string_view line);

    [[nodiscard]] bool streamBegun() const noexcept { return streamBegun_; }

    /** @return Bytes that are written but not yet taken by the caller's host. */
    [[nodiscard]] std::size_t unsent() const noexcept;

    /** Closes now when nothing is in progress, else after the present answer. */
    void closeWhenIdle();

    /** Closes now, whatever is in progress. */
    void close();

    void setCall(std::optional<CallId> call) { call_ = call; }
    [[nodiscard]] std::optional<CallId> call() const noexcept { return call_; }

private:
    enum class Phase : std::uint8_t { Idle, Receiving, Answering, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using ErrorCode = boost::system::error_code;

    void nextRequest();
    void read();
    void onRead(ErrorCode error, std::size_t count);
    void onReadEnd();
    void parse();
    void headerCame();
    void refuseUnparsed(ErrorCode error);
    void requestCame();
    void receiveTimePassed();
    void refuse(node::Reply refusal);
    void beginAnswer();
    void finishAnswer();
    void write(std::string_view bytes);
    void flush();
    void writeSome();
    void onWritten(ErrorCode error, std::size_t count);
    void allWritten();
    void linger();
    void lost();

    StreamContext& context_;
    CallerHost& host_;
    boost::asio::ip::tcp::socket socket_;
    Deadline receiveDeadline_;
    Deadline writeDeadline_;
    /** Where a read under way puts its bytes: apart from `buffer_`, which is emptied meanwhile. */
    std::array<char, 4096> incoming_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    Phase phase_ = Phase::Idle;
    bool reading_ = false;
    bool headerSeen_ = false;
    bool keepAlive_ = true;
    bool chunked_ = true;
    bool streamBegun_ = false;
    /** The last byte of the present answer has been handed to write(). */
    bool answerComplete_ = false;
    bool closeWhenIdle_ = false;
    std::string pending_;
    std::string inFlight_;
    std::size_t inFlightSent_ = 0;
    std::optional<CallId> call_;
};

} // namespace swiftlift::transport::internal
