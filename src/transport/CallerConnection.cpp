#include "transport/CallerConnection.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <sys/socket.h>

#include "transport/HttpText.h"
#include "transport/SocketOptions.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr int sendBufferBytes = 64 * 1024;
    constexpr std::chrono::milliseconds lingerTime { 2'000 };
    /** A caller that reads, however slowly, accepts bytes more often than this. */
    constexpr std::chrono::milliseconds minStallTime { 1'000 };
    /** Of HTTP, times ten: the first version in which a body may be sent in chunks. */
    constexpr unsigned firstVersionWithChunks = 11;
    constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(StreamContext& context, CallerConnectionHandler& handler, tcp::socket socket)
    : context_(context)
    , handler_(handler)
    , socket_(std::move(socket))
    , receiveDeadline_(context.loop, [this] { receiveTimedOut(); })
    , writeDeadline_(context.loop, [this] { handleDisconnect(); })
    , held_(context.held)
{
}

void CallerConnection::start()
{
    ErrorCode ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // By default the operating system grows the send buffer to megabytes. A slow caller would then use that memory in
    // addition to `pauseAboveBytes`, and since the socket is not writable again before a third of the buffer is free,
    // a caller that reads steadily but slowly would reach the write stall timeout and be disconnected.
    socket_.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
    nextRequest();
}

void CallerConnection::nextRequest()
{
    if (closesAfterAnswer_ && buffer_.size() == 0) {
        close();
        return;
    }
    phase_ = Phase::Idle;
    headerSeen_ = false;
    streamBegun_ = false;
    answerComplete_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(context_.limits.headerBytes);
    parser_->body_limit(context_.limits.bodyBytes);
    receiveDeadline_.arm(context_.limits.idleTime);
    parse();
    read();
}

void CallerConnection::read()
{
    if (reading_ || phase_ == Phase::Closed) {
        return;
    }
    // Limits read-ahead while an answer is pending. Beyond the limit, a disconnect is detected by the next write.
    if (phase_ == Phase::Answering && buffer_.size() >= context_.limits.readAheadBytes) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(incoming_),
        [self = shared_from_this()](ErrorCode error, std::size_t count) { self->onRead(error, count); });
}

void CallerConnection::onRead(ErrorCode error, std::size_t count)
{
    reading_ = false;
    context_.traffic.received += count;
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        onReadEnd();
        return;
    }
    if (phase_ == Phase::Lingering) {
        read();
        return;
    }
    boost::asio::buffer_copy(buffer_.prepare(count), boost::asio::buffer(incoming_, count));
    buffer_.commit(count);
    if (phase_ != Phase::Answering) {
        parse();
    }
    updateHeldBytes();
    if (phase_ == Phase::Receiving && context_.holdsTooMuch()) {
        ++context_.counts.overloaded;
        refuse(503, "overloaded", "the router holds too many bytes of other requests");
    }
    read();
}

void CallerConnection::onReadEnd()
{
    if (phase_ == Phase::Answering) {
        handleDisconnect();
    } else {
        close();
    }
}

void CallerConnection::parse()
{
    if (buffer_.size() == 0 || (phase_ != Phase::Idle && phase_ != Phase::Receiving)) {
        return;
    }
    if (phase_ == Phase::Idle) {
        phase_ = Phase::Receiving;
        receiveDeadline_.arm(context_.limits.headerTime);
    }
    while (buffer_.size() > 0 && !parser_->is_done()) {
        ErrorCode error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            refuseUnparsed(error);
            return;
        }
        if (error || used == 0) {
            break;
        }
    }
    if (parser_->is_header_done() && !headerSeen_) {
        if (!isFramingKnown()) {
            refuse(400, "bad_request", "the only transfer coding of a request is chunked, with HTTP/1.1");
            return;
        }
        headerReceived();
    }
    if (parser_->is_done()) {
        requestReceived();
    }
}

bool CallerConnection::isFramingKnown() const
{
    const auto& message = parser_->get();
    const bool hasCoding = message.find(http::field::transfer_encoding) != message.end();
    return !hasCoding || (message.version() >= firstVersionWithChunks && !hasUnknownCoding(message));
}

void CallerConnection::headerReceived()
{
    headerSeen_ = true;
    receiveDeadline_.arm(context_.limits.bodyTime);
    const auto& message = parser_->get();
    if (!parser_->is_done() && boost::beast::iequals(message[http::field::expect], "100-continue")) {
        write(continueLine);
    }
}

void CallerConnection::refuseUnparsed(ErrorCode error)
{
    if (error == http::error::body_limit) {
        refuse(
            413, "body_too_large", "the body is larger than " + std::to_string(context_.limits.bodyBytes) + " bytes");
    } else if (error == http::error::header_limit) {
        refuse(431, "header_too_large",
            "the header is larger than " + std::to_string(context_.limits.headerBytes) + " bytes");
    } else {
        refuse(400, "bad_request", "HTTP parse error in the request: " + error.message());
    }
}

void CallerConnection::receiveTimedOut()
{
    if (phase_ == Phase::Receiving) {
        refuse(408, "slow_sender", "the request was not completely received before the timeout");
    } else {
        close();
    }
}

void CallerConnection::requestReceived()
{
    auto message = parser_->release();
    keepAlive_ = message.keep_alive() && !closesAfterAnswer_;
    chunked_ = message.version() >= firstVersionWithChunks;
    beginAnswer();
    handler_.requestReceived(*this, std::move(message));
}

void CallerConnection::refuse(int status, std::string reason, std::string detail)
{
    keepAlive_ = false;
    const bool headKnown = parser_->is_header_done();
    beginAnswer();
    handler_.requestRejected(
        *this, { status, std::move(reason), std::move(detail), headKnown ? &parser_->get() : nullptr });
    parser_->get().body() = {};
}

void CallerConnection::beginAnswer()
{
    phase_ = Phase::Answering;
    receiveDeadline_.disarm();
}

void CallerConnection::reply(std::string_view answer)
{
    if (phase_ != Phase::Answering) {
        return;
    }
    write(answer);
    finishAnswer();
}

void CallerConnection::beginStream()
{
    streamBegun_ = true;
    keepAlive_ = keepAlive_ && chunked_;
    // Without chunked encoding, the end of the connection is the end of the answer, so a partial answer would look
    // complete: until it is complete, whatever ends the connection resets it.
    if (!chunked_) {
        resetOnClose(socket_, true);
    }
}

void CallerConnection::stream(std::string_view piece)
{
    if (phase_ == Phase::Answering) {
        write(piece);
    }
}

void CallerConnection::endStream()
{
    if (phase_ == Phase::Answering) {
        finishAnswer();
    }
}

void CallerConnection::finishAnswer()
{
    call_.reset();
    answerComplete_ = true;
    if (inFlight_.empty() && pending_.empty()) {
        allWritten();
    }
}

std::size_t CallerConnection::unsentBytes() const noexcept
{
    return pending_.size() + inFlight_.size() - inFlightSent_;
}

void CallerConnection::write(std::string_view bytes)
{
    if (unsentBytes() == 0) {
        lastProgress_ = std::chrono::steady_clock::now();
    }
    pending_ += bytes;
    updateHeldBytes();
    context_.counts.mostUnsentBytes = std::max(context_.counts.mostUnsentBytes, unsentBytes());
    // Deferred, so that events that were read together are sent in one write.
    if (!std::exchange(flushScheduled_, true)) {
        boost::asio::post(context_.loop, [self = shared_from_this()] {
            self->flushScheduled_ = false;
            self->flush();
        });
    }
}

void CallerConnection::flush()
{
    if (!inFlight_.empty() || pending_.empty() || phase_ == Phase::Closed) {
        return;
    }
    inFlight_.swap(pending_);
    inFlightSent_ = 0;
    writeSome();
}

void CallerConnection::writeSome()
{
    writeDeadline_.arm(context_.limits.writeStallTime);
    const auto rest = boost::asio::buffer(inFlight_) + inFlightSent_;
    socket_.async_write_some(
        rest, [self = shared_from_this()](ErrorCode error, std::size_t count) { self->onWritten(error, count); });
}

void CallerConnection::onWritten(ErrorCode error, std::size_t count)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        handleDisconnect();
        return;
    }
    context_.traffic.sent += count;
    inFlightSent_ += count;
    lastProgress_ = std::chrono::steady_clock::now();
    updateHeldBytes();
    if (inFlightSent_ < inFlight_.size()) {
        writeSome();
    } else {
        inFlight_.clear();
        inFlightSent_ = 0;
        writeDeadline_.disarm();
        flush();
    }
    if (call_ && unsentBytes() < context_.limits.resumeBelowBytes) {
        handler_.callerDrained(*this);
    }
    if (inFlight_.empty() && answerComplete_) {
        allWritten();
    }
}

void CallerConnection::allWritten()
{
    if (phase_ != Phase::Answering) {
        return;
    }
    if (streamBegun_ && !chunked_) {
        resetOnClose(socket_, false);
    }
    if (keepAlive_) {
        nextRequest();
    } else {
        linger();
    }
}

void CallerConnection::linger()
{
    // Closing a socket with unread bytes resets the connection, and the caller may lose a refusal that it has not read
    // yet, for example of a too large body. So only the sending side is shut down, and further input is discarded.
    phase_ = Phase::Lingering;
    buffer_.consume(buffer_.size());
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    receiveDeadline_.arm(lingerTime);
    read();
}

bool CallerConnection::closedByPeer() noexcept
{
    char byte = 0;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerConnection::closeAfterAnswer() noexcept
{
    closesAfterAnswer_ = true;
    keepAlive_ = false;
}

void CallerConnection::closeWhenIdle()
{
    closeAfterAnswer();
    // Closing a socket with unread bytes resets the connection, and its request would have no answer.
    ErrorCode error;
    if (phase_ == Phase::Idle && socket_.available(error) == 0) {
        close();
    }
}

void CallerConnection::handleDisconnect()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const auto self = shared_from_this();
    if (call_) {
        handler_.callerDisconnected(*this);
        call_.reset();
    }
    close();
}

void CallerConnection::close()
{
    if (std::exchange(phase_, Phase::Closed) == Phase::Closed) {
        return;
    }
    const auto self = shared_from_this();
    receiveDeadline_.disarm();
    writeDeadline_.disarm();
    held_.set(0);
    ErrorCode ignored;
    socket_.close(ignored);
    handler_.connectionClosed(*this);
}

void CallerConnection::updateHeldBytes()
{
    if (phase_ != Phase::Closed) {
        const std::size_t body = phase_ == Phase::Receiving ? parser_->get().body().size() : 0;
        held_.set(buffer_.size() + body + unsentBytes());
    }
}

std::optional<std::chrono::steady_clock::time_point> CallerConnection::stalledSince() const noexcept
{
    return unsentBytes() > 0 ? std::optional(lastProgress_) : std::nullopt;
}

bool anyOwesAnswer(const CallerConnections& connections) noexcept
{
    return std::ranges::any_of(connections, [](const auto& connection) { return connection->owesAnswer(); });
}

void closeConnections(const CallerConnections& connections)
{
    // Copied, because each connection that closes is removed from `connections`.
    const std::vector<std::shared_ptr<CallerConnection>> all(connections.begin(), connections.end());
    for (const auto& connection : all) {
        connection->setCall(std::nullopt);
        connection->close();
    }
}

void closeSlowCallers(StreamContext& context, const CallerConnections& connections)
{
    using Clock = std::chrono::steady_clock;
    if (!context.holdsTooMuch()) {
        return;
    }
    std::vector<std::pair<Clock::time_point, std::shared_ptr<CallerConnection>>> stalled;
    for (const auto& connection : connections) {
        if (const auto since = connection->stalledSince(); since && Clock::now() - *since >= minStallTime) {
            stalled.emplace_back(*since, connection);
        }
    }
    std::ranges::sort(stalled, {}, [](const auto& entry) { return entry.first; });
    for (const auto& [since, connection] : stalled) {
        if (!context.holdsTooMuch()) {
            return;
        }
        ++context.counts.slowCallersClosed;
        context.log.write(logging::Level::Warning, "slow_caller_closed",
            { { "unsent_bytes", static_cast<std::int64_t>(connection->unsentBytes()) },
                { "held_bytes", static_cast<std::int64_t>(context.held->bytes) } });
        connection->handleDisconnect();
    }
}

} // namespace swiftlift::transport::internal
