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
#include "transport/HeldBytes.h"
#include "transport/StreamContext.h"
#include "transport/TextBody.h"

namespace swiftlift::transport::internal {

class CallerConnection;

/** A caller's HTTP request. */
using CallerMessage = boost::beast::http::request<TextBody>;

/** A request that the connection could not receive or parse, with the status and reason of its refusal. */
struct RejectedRequest {
    int status = 400;
    std::string reason;
    std::string detail;
    /** The request's head, if completely received; null otherwise. */
    const CallerMessage* head = nullptr;
};

/** Handles the events of callers' connections. */
class CallerConnectionHandler {
public:
    CallerConnectionHandler() = default;
    virtual ~CallerConnectionHandler() = default;
    CallerConnectionHandler(const CallerConnectionHandler&) = delete;
    CallerConnectionHandler& operator=(const CallerConnectionHandler&) = delete;

    /** A request has been received completely; the connection waits for its answer. */
    virtual void requestReceived(CallerConnection& connection, CallerMessage&& request) = 0;
    /** A request could not be received or parsed. The handler must answer; the connection closes afterwards. */
    virtual void requestRejected(CallerConnection& connection, const RejectedRequest& rejected) = 0;
    /** The caller disconnected before its answer was written. */
    virtual void callerDisconnected(CallerConnection& connection) = 0;
    /** Fewer than `resumeBelowBytes` of the call's answer are unsent. */
    virtual void callerDrained(CallerConnection& connection) = 0;
    /** The connection has been closed. */
    virtual void connectionClosed(CallerConnection& connection) = 0;
};

/** A caller's connection: successive requests, each answered with a single or a streamed answer. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(StreamContext& context, CallerConnectionHandler& handler, boost::asio::ip::tcp::socket socket);

    /** Sets the socket's options and starts reading. */
    void start();

    /** Writes a complete answer with its head and ends the request. */
    void reply(std::string_view answer);

    /** Begins a streamed answer. Must be called before the answer's head is formatted: it may change keepAlive(). */
    void beginStream();
    /** Writes the next bytes of a streamed answer. */
    void stream(std::string_view piece);
    /** Ends the streamed answer and the request. */
    void endStream();

    [[nodiscard]] bool streamBegun() const noexcept { return streamBegun_; }
    /** @return Whether a request is in progress whose answer is not complete. */
    [[nodiscard]] bool answering() const noexcept { return phase_ == Phase::Answering && !answerComplete_; }
    /** @return Whether a request was received whose answer has not been written completely. */
    [[nodiscard]] bool owesAnswer() const noexcept { return phase_ == Phase::Answering; }
    /** @return Whether the connection stays open after the current answer; the answer's head has to state this. */
    [[nodiscard]] bool keepAlive() const noexcept { return keepAlive_; }
    /** @return Whether the caller supports chunked transfer encoding. */
    [[nodiscard]] bool chunked() const noexcept { return chunked_; }

    /** @return Number of bytes that are written but not yet passed to the socket. */
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /** @return Whether the caller has closed the connection, even if the event loop has not processed that yet. */
    [[nodiscard]] bool closedByPeer() noexcept;

    /** Closes the connection after its current or next answer. */
    void closeAfterAnswer() noexcept;

    /** Closes the connection at once if no request is in progress or has arrived, else after that request's answer. */
    void closeWhenIdle();

    /** Closes the connection at once, even if a request is in progress. */
    void close();

    /** @return Since when the caller has accepted no byte of what is written; nullopt: nothing is unsent. */
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> stalledSince() const noexcept;

    /** Treats the caller as disconnected. */
    void handleDisconnect();

    /** Sets the call that is answered on this connection. */
    void setCall(std::optional<CallId> call) { call_ = call; }
    [[nodiscard]] std::optional<CallId> call() const noexcept { return call_; }

private:
    enum class Phase : std::uint8_t { Idle, Receiving, Answering, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<TextBody>;
    using ErrorCode = boost::system::error_code;

    void nextRequest();
    void read();
    void onRead(ErrorCode error, std::size_t count);
    void onReadEnd();
    void parse();
    /** @return Whether the request's head tells where its body ends. Otherwise the body could run as a request. */
    [[nodiscard]] bool isFramingKnown() const;
    void headerReceived();
    void refuseUnparsed(ErrorCode error);
    void requestReceived();
    void receiveTimedOut();
    void refuse(int status, std::string reason, std::string detail);
    void beginAnswer();
    void finishAnswer();
    void write(std::string_view bytes);
    void flush();
    void writeSome();
    void onWritten(ErrorCode error, std::size_t count);
    void allWritten();
    void linger();
    void updateHeldBytes();

    StreamContext& context_;
    CallerConnectionHandler& handler_;
    boost::asio::ip::tcp::socket socket_;
    Deadline receiveDeadline_;
    Deadline writeDeadline_;
    /** Target of the pending read; separate from `buffer_`, which is consumed while the read is pending. */
    std::array<char, 4096> incoming_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    Phase phase_ = Phase::Idle;
    bool reading_ = false;
    bool headerSeen_ = false;
    bool keepAlive_ = true;
    bool chunked_ = true;
    bool streamBegun_ = false;
    /** The last byte of the current answer has been passed to write(). */
    bool answerComplete_ = false;
    bool closesAfterAnswer_ = false;
    std::string pending_;
    std::string inFlight_;
    std::size_t inFlightSent_ = 0;
    /** A flush has been posted to the event loop. */
    bool flushScheduled_ = false;
    std::optional<CallId> call_;
    HeldBytes held_;
    /** When the caller accepted the last byte, or the pending bytes were written. */
    std::chrono::steady_clock::time_point lastProgress_;
};

using CallerConnections = std::unordered_set<std::shared_ptr<CallerConnection>>;

/** @return Whether a request was received on any of the connections whose answer has not been written completely. */
[[nodiscard]] bool anyOwesAnswer(const CallerConnections& connections) noexcept;

/** Closes all connections at once, even those with a request in progress. */
void closeConnections(const CallerConnections& connections);

/**
 * @brief Disconnects callers that don't read, while all connections together hold too many bytes.
 *
 * The caller that has accepted no byte for the longest time is disconnected first.
 */
void closeSlowCallers(StreamContext& context, const CallerConnections& connections);

} // namespace swiftlift::transport::internal
