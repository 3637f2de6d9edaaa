#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "transport/Deadline.h"
#include "transport/StreamContext.h"

namespace swiftlift::transport::internal {

class CallerConnection;

using CallerMessage = boost::beast::http::request<boost::beast::http::string_body>;

/** Why a request can't be taken in. */
struct UnreadableRequest {
    int status = 400;
    std::string reason;
    std::string detail;
    /** Its head, where that has come whole; null otherwise. */
    const CallerMessage* head = nullptr;
};

/** What a caller's connection tells. */
class CallerHost {
public:
    CallerHost() = default;
    virtual ~CallerHost() = default;
    CallerHost(const CallerHost&) = delete;
    CallerHost& operator=(const CallerHost&) = delete;

    /** A request has come whole; the connection waits for its answer. */
    virtual void requestCame(CallerConnection& connection, CallerMessage&& request) = 0;
    /** A request can't be taken in; it has to be answered, and the connection closes after that. */
    virtual void requestUnreadable(CallerConnection& connection, const UnreadableRequest& why) = 0;
    /** The caller went away before its answer was written. */
    virtual void callerDisconnected(CallerConnection& connection) = 0;
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

    /** Writes a whole answer, its head included; the request is over. */
    void reply(std::string_view answer);

    /** From here on the answer is written piece by piece. To be called before its head is made. */
    void beginStream();
    /** Writes a piece of a streamed answer. */
    void stream(std::string_view piece);
    /** The streamed answer has been written; the request is over. */
    void endStream();

    [[nodiscard]] bool streamBegun() const noexcept { return streamBegun_; }
    /** @return Whether a request is in progress that still has to be answered. */
    [[nodiscard]] bool answering() const noexcept { return phase_ == Phase::Answering && !answerComplete_; }
    /** @return Whether the connection stays open after the present answer, as its head has to say. */
    [[nodiscard]] bool keepAlive() const noexcept { return keepAlive_; }
    /** @return Whether the caller understands answers in chunks. */
    [[nodiscard]] bool chunked() const noexcept { return chunked_; }

    /** @return Bytes that are written but not yet taken by the caller's host. */
    [[nodiscard]] std::size_t unsent() const noexcept;

    /** @return Whether the other side has closed, though that may not have been read yet. */
    [[nodiscard]] bool ended() noexcept;

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
    void refuse(int status, std::string reason, std::string detail);
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
    /** A flush is under way to the loop. */
    bool flushDue_ = false;
    std::optional<CallId> call_;
};

using CallerConnections = std::unordered_set<std::shared_ptr<CallerConnection>>;

/** Closes all at once, whatever they wait for. */
void closeConnections(const CallerConnections& connections);

} // namespace swiftlift::transport::internal
