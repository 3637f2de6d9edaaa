#include "transport/Attempt.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "transport/AnswerHeadTap.h"
#include "transport/ConnectionLimits.h"
#include "transport/HttpText.h"
#include "transport/RelayText.h"
#include "transport/SocketOptions.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    constexpr std::size_t maxRefusalBytes = 4 * 1024;
    /** Maximum wait for the end of the body after a complete answer; the connection is closed on timeout. */
    constexpr std::chrono::milliseconds maxEndOfBodyWait { 500 };
    /** Lag of the event loop above which a connect may have completed without having been processed at its timeout. */
    constexpr std::chrono::milliseconds minLagForExtension { 20 };
    /** Time that a relay has to connect to the backend server and to report it, in multiples of the connect timeout. */
    constexpr int relayConnectTimeouts = 2;
    constexpr std::size_t maxRelayAnswerBytes = 4 * 1024;
    /** Maximum number of interim answers and of late answers to earlier requests before the request's own answer. */
    constexpr int maxForeignHeads = 16;
    /** Maximum number of body bytes that are read and discarded: of refusals and of answers to other requests. */
    constexpr std::size_t maxDiscardedBytes = 256 * 1024;
    /** Maximum number of log lines about foreign parts of one answer; the counter counts all of them. */
    constexpr int maxForeignLogLines = 16;

    /** @param relayStatus Status of a relay that did not connect; 0: none was received. */
    node::ConnectFailure failureOf(int relayStatus)
    {
        if (relayStatus == RelayAnswer::unreachable) {
            return node::ConnectFailure::Server;
        }
        return relayStatus == RelayAnswer::declined ? node::ConnectFailure::Declined : node::ConnectFailure::Relay;
    }

    /** @return Why the head is not that of an answer; empty if it is. */
    std::string faultOf(const http::response_header<>& head)
    {
        if (!isStatus(head.result_int())) {
            return std::to_string(head.result_int()) + " is no status of HTTP";
        }
        return hasUnknownCoding(head) ? "the answer's transfer coding is unknown" : std::string {};
    }

} // namespace

Attempt::Attempt(StreamContext& context, AttemptHandler& handler, BackendPool& pool, AttemptOrder order)
    : context_(context)
    , handler_(handler)
    , pool_(pool)
    , order_(std::move(order))
    , deadline_(context.loop, [this] { silenceTimedOut(); })
    , held_(context.held)
    , heldOfLargeAnswer_(context.largeAnswers)
{
    startParser();
}

void Attempt::startParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(context_.limits.headerBytes);
    // The readers limit the answer's size. Beast's "no limit" value refuses every body with a length.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    verdict_.reset();
}

void Attempt::start()
{
    reader_ = order_.makeReader(sink());
    if (order_.relay) {
        // The byte stream through a relay carries one request.
        order_.reuse = Reuse::Never;
    }
    if (order_.reuse != Reuse::Never) {
        connection_ = pool_.take(order_.backend, order_.reuse == Reuse::Any);
    }
    if (connection_) {
        ++context_.counts.backendReuses;
        write();
    } else {
        connect();
    }
}

void Attempt::connect()
{
    const auto self = shared_from_this();
    connection_ = std::make_shared<BackendConnection>(context_.loop);
    ++context_.counts.backendConnects;
    const auto endpoint
        = order_.relay ? parseEndpoint(order_.relay->address.value()) : context_.endpointOf(order_.address);
    if (!endpoint) {
        boost::asio::post(context_.loop, [self] { self->endUnconnected("the backend server has no valid address"); });
        return;
    }
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(order_.silenceLimit);
    deadline_.arm(silence.count() > 0 ? std::min(context_.limits.connectTime, silence) : context_.limits.connectTime);
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint->ip), endpoint->port);
    connection_->socket.async_connect(address, [self](ErrorCode error) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->endUnconnected("connect: " + error.message());
            return;
        }
        ErrorCode ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        detectDeadPeer(self->connection_->socket);
        if (self->order_.relay) {
            self->requestRelay();
            return;
        }
        self->unproven_ = true;
        self->write();
    });
}

void Attempt::requestRelay()
{
    const auto self = shared_from_this();
    relayReached_ = true;
    deadline_.arm(context_.limits.connectTime * relayConnectTimeouts);
    relayRequest_ = relayRequestText(order_.backend, order_.address);
    boost::asio::async_write(
        connection_->socket, boost::asio::buffer(relayRequest_), [self](ErrorCode, std::size_t) {});
    boost::asio::async_read_until(connection_->socket, boost::asio::dynamic_buffer(relayAnswer_, maxRelayAnswerBytes),
        endOfRelayHead, [self](ErrorCode error, std::size_t) {
            if (!self->closed_) {
                self->relayAnswered(error);
            }
        });
}

void Attempt::relayAnswered(const ErrorCode& error)
{
    if (error) {
        endUnconnected("relay: " + error.message());
        return;
    }
    const RelayAnswer answer = parseRelayAnswer(relayAnswer_);
    if (answer.status == RelayAnswer::connected) {
        write();
        return;
    }
    relayStatus_ = answer.status;
    endUnconnected("relay: " + answer.reason);
}

// Nothing of the request has been sent.
void Attempt::endUnconnected(std::string detail)
{
    connectFailure_ = order_.relay ? failureOf(relayStatus_) : node::ConnectFailure::Server;
    end(AttemptResult::Unreachable, std::move(detail));
}

void Attempt::write()
{
    maybeStarted_ = true;
    answerDue_ = std::chrono::steady_clock::now() + context_.limits.answerTime;
    armSilenceTimeout();
    updateHeldBytes();
    writing_ = true;
    // A write error does not end the attempt, since the backend server may refuse without reading the whole body.
    boost::asio::async_write(connection_->socket, boost::asio::buffer(order_.request),
        [self = shared_from_this()](ErrorCode error, std::size_t count) {
            self->writing_ = false;
            self->requestCut_ = static_cast<bool>(error);
            self->context_.traffic.sent += count;
            self->order_.request = {};
            self->updateHeldBytes();
            if (std::exchange(self->endAwaitsWrite_, false) && !self->closed_) {
                self->onClosed(boost::asio::error::eof);
            }
        });
    read();
}

void Attempt::read()
{
    if (mustWaitForMemory()) {
        waitsForMemory_ = true;
        context_.postponed.push_back(weak_from_this());
    } else {
        readNow();
    }
}

std::size_t Attempt::collectedBytes() const noexcept { return reader_->heldBytes(); }

bool Attempt::mustWaitForMemory()
{
    return !closed_ && reader_->heldBytes() > 0 && !context_.mayCollect(shared_from_this());
}

void Attempt::readNow()
{
    if (reading_ || paused_ || closed_) {
        return;
    }
    reading_ = true;
    if (std::exchange(waitsForMemory_, false)) {
        armSilenceTimeout();
    }
    connection_->socket.async_read_some(buffer_.prepare(readBytes),
        [self = shared_from_this()](ErrorCode error, std::size_t count) { self->onRead(error, count); });
}

void Attempt::onRead(ErrorCode error, std::size_t count)
{
    reading_ = false;
    context_.traffic.received += count;
    if (!order_.relay && count > 0) {
        context_.backendsHeardAt = std::chrono::steady_clock::now();
    }
    if (closed_) {
        return;
    }
    if (count > 0 && std::exchange(unproven_, false)) {
        context_.decisions.pushOrDrop({ context_.incarnation, node::BackendConnected { order_.backend } });
    }
    if (error) {
        onClosed(error);
        return;
    }
    buffer_.commit(count);
    receivedBytes_ += count;
    parse();
    checkSize();
    updateHeldBytes();
    if (streaming_ && !ended_) {
        context_.pacer.later(shared_from_this());
    } else {
        read();
    }
}

void Attempt::onClosed(ErrorCode error)
{
    if (ended_) {
        closeSocket();
        return;
    }
    const bool endsWithConnection = parser_->is_header_done() && parser_->need_eof();
    if (error == boost::asio::error::eof && endsWithConnection && writing_) {
        // A reset is reported to one operation only. If that is the write, this end looks orderly, whichever of the two
        // is handled first.
        endAwaitsWrite_ = true;
        return;
    }
    // A server that cuts off an answer which is not read has not crashed.
    const bool lost = error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
    connectionLost_ = lost && !wasUnreadForLong();
    // Without a length and without chunks, an answer that was cut off would look complete. A write that meets a reset
    // takes its error away, and the read that follows it reports an orderly end.
    const bool cutOff = (wasUnreadForLong() || requestCut_) && endsWithConnection;
    ErrorCode failed;
    if (error == boost::asio::error::eof && parser_->is_header_done() && !cutOff) {
        parser_->put_eof(failed);
        if (!failed && parser_->is_done()) {
            handleEnd();
            if (!ended_) {
                end(AttemptResult::Broken, "connection closed after the answer to another request");
            }
            return;
        }
    }
    if (unproven_ && connectionLost_) {
        connectFailure_ = node::ConnectFailure::Closed;
    }
    end(AttemptResult::Broken, "connection lost: " + error.message());
}

void Attempt::parse()
{
    while (buffer_.size() > 0 && !closed_ && !(ended_ && parser_->is_done())) {
        ErrorCode error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == http::error::header_limit) {
            endOversized("the head of the answer is too large");
            return;
        }
        if (error && error != http::error::need_more) {
            end(AttemptResult::Broken, "HTTP parse error in the answer: " + error.message());
            return;
        }
        if (parser_->is_header_done()) {
            handleHeader();
            handleBody();
        }
        if (parser_->is_done() && !closed_) {
            handleEnd();
        } else if (error || used == 0) {
            return;
        }
    }
}

void Attempt::handleHeader()
{
    if (verdict_ || ended_) {
        return;
    }
    const auto& message = parser_->get();
    const AnswerHead head = makeAnswerHead(static_cast<int>(message.result_int()), message);
    if (std::string fault = faultOf(message); !fault.empty()) {
        verdict_ = HeadVerdict::Broken;
        end(AttemptResult::Broken, std::move(fault));
        return;
    }
    verdict_ = reader_->head(head);
    if (*verdict_ == HeadVerdict::Foreign) {
        logForeignAnswer(reader_->lastReason());
        return;
    }
    status_ = head.status;
    if (*verdict_ == HeadVerdict::Broken) {
        end(AttemptResult::Broken, reader_->lastReason());
        return;
    }
    if (const auto& announcement = reader_->announcement(); announcement && !announcement->empty()) {
        context_.events.push({ Incarnation {}, node::BackendAnnounced { order_.backend, *announcement } });
    }
}

std::optional<routing::Announcement> Attempt::announcement() const
{
    const bool understood = verdict_ == HeadVerdict::Body || verdict_ == HeadVerdict::Refusal;
    return understood ? reader_->announcement() : std::nullopt;
}

void Attempt::handleBody()
{
    const std::string body = std::exchange(parser_->get().body(), {});
    if (ended_ || body.empty() || !verdict_) {
        return;
    }
    if (*verdict_ == HeadVerdict::Body) {
        handleReadState(reader_->parseBody(body));
    } else if (*verdict_ == HeadVerdict::Refusal && refusalBody_.size() + body.size() <= maxRefusalBytes) {
        refusalBody_ += body;
    } else {
        discard(body.size());
    }
}

void Attempt::discard(std::size_t count)
{
    discardedBytes_ += count;
    if (discardedBytes_ > maxDiscardedBytes) {
        endOversized("too many bytes that are not the answer");
    }
}

void Attempt::handleEnd()
{
    // A late answer to an earlier request on this connection. It is discarded: forwarded, it would give the caller the
    // answer to another request.
    if (!ended_ && verdict_ == HeadVerdict::Foreign) {
        if (++foreignHeads_ > maxForeignHeads) {
            endOversized("too many answers to other requests");
        } else {
            startParser();
        }
        return;
    }
    if (!ended_) {
        if (verdict_ == HeadVerdict::Body) {
            handleReadState(reader_->end());
        } else {
            end(reader_->refusal(refusalBody_), "status " + std::to_string(status_));
        }
    }
    recycle();
}

void Attempt::handleReadState(ReadState state)
{
    if (state == ReadState::Broken) {
        end(AttemptResult::Broken, reader_->lastReason());
    } else if (state == ReadState::TooLarge) {
        endOversized(reader_->lastReason());
    } else if (state == ReadState::Complete) {
        end(reader_->result(), {});
    }
}

// Beast limits the head, but neither a chunk's size line nor the trailer fields.
void Attempt::checkSize()
{
    const bool unparsedTooLarge = buffer_.size() > context_.limits.headerBytes + readBytes;
    if (!unparsedTooLarge && receivedBytes_ <= context_.limits.answerTotalBytes) {
        return;
    }
    if (ended_) {
        closeSocket();
    } else {
        endOversized(unparsedTooLarge ? "a line of the answer's framing is too long" : "the answer is too large");
    }
}

void Attempt::endOversized(const std::string& reason)
{
    if (ended_) {
        return;
    }
    ++context_.counts.endlessAnswers;
    context_.log.write(logging::Level::Warning, "endless_answer",
        { { "backend", order_.backend.value() }, { "request", order_.name },
            { "attempt", static_cast<std::int64_t>(order_.attempt.value()) },
            { "bytes", static_cast<std::int64_t>(receivedBytes_) }, { "reason", reason } });
    end(AttemptResult::Broken, reason);
}

void Attempt::silenceTimedOut()
{
    // A router whose event loop lags must not treat its own lag as unreachable backend servers. Otherwise it would open
    // their circuit breakers, mark whole failure domains unreachable and refuse requests that they could serve. The
    // symptom is `connect: timeout` at a single router for servers of all failure domains, including its own.
    const bool connecting = !ended_ && !maybeStarted_;
    if (connecting && context_.lag > minLagForExtension && !std::exchange(connectTimeoutExtended_, true)) {
        deadline_.arm(context_.limits.connectTime);
        return;
    }
    if (ended_) {
        closeSocket();
    } else if (waitsForMemory_ && std::chrono::steady_clock::now() < answerDue_) {
        // The server may have sent more; it is this router that doesn't read it.
        armSilenceTimeout();
    } else if (std::chrono::steady_clock::now() >= answerDue_) {
        endOversized("the answer is not complete within its time limit");
    } else if (maybeStarted_) {
        end(AttemptResult::Broken, "no data from the backend server within the silence limit");
    } else {
        endUnconnected(relayReached_ ? "relay: timeout" : "connect: timeout");
    }
}

void Attempt::end(AttemptResult result, std::string detail)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    if (result == AttemptResult::Completed) {
        // The connection may be kept once the end of the body has been received.
        paused_ = false;
        deadline_.arm(maxEndOfBodyWait);
    } else if (result == AttemptResult::Broken || !parser_->is_done()) {
        closeSocket();
    }
    handler_.attemptEnded(*this, result, std::move(detail));
}

void Attempt::recycle()
{
    if (closed_) {
        return;
    }
    // A connection is not kept if bytes follow the complete answer, which belong to no request, or while the request's
    // body is still being written, since the rest of the body would precede the next request.
    const bool clean = !writing_ && parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
    if (order_.reuse == Reuse::Never || !clean) {
        closeSocket();
        return;
    }
    closed_ = true;
    deadline_.disarm();
    updateHeldBytes();
    const auto keepAlive = parser_->get()[http::field::keep_alive];
    pool_.giveBack(order_.backend, std::move(connection_), advertisedIdleTime({ keepAlive.data(), keepAlive.size() }));
}

void Attempt::cancel()
{
    ended_ = true;
    closeSocket();
}

void Attempt::closeSocket()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    deadline_.disarm();
    updateHeldBytes();
    if (connection_) {
        ErrorCode ignored;
        connection_->socket.close(ignored);
    }
}

void Attempt::pause()
{
    paused_ = true;
    pausedAt_ = std::chrono::steady_clock::now();
    deadline_.disarm();
}

void Attempt::resume()
{
    if (!std::exchange(paused_, false) || closed_ || ended_) {
        return;
    }
    longestPause_ = std::max(longestPause_, std::chrono::steady_clock::now() - pausedAt_);
    armSilenceTimeout();
    read();
}

void Attempt::armSilenceTimeout()
{
    using Clock = std::chrono::steady_clock;
    const bool limited = order_.silenceLimit > Duration::zero();
    const Clock::duration silence = limited ? Clock::duration(order_.silenceLimit) : context_.limits.defaultSilence;
    deadline_.arm(std::min(silence, answerDue_ - Clock::now()));
}

void Attempt::updateHeldBytes()
{
    if (!closed_) {
        const std::size_t collected = reader_->heldBytes();
        held_.set(order_.request.size() + buffer_.size() + collected);
        heldOfLargeAnswer_.set(context_.isLarge(collected) ? collected : 0);
        return;
    }
    held_.set(0);
    heldOfLargeAnswer_.set(0);
    if (context_.exempt.lock().get() == this) {
        context_.exempt.reset();
    }
}

AnswerSink Attempt::sink()
{
    AnswerSink sink;
    sink.part = [this](std::string part) {
        streaming_ = true;
        handler_.answerPartReceived(*this, std::move(part));
    };
    sink.matchingLine = [this] {
        // The handler may have paused or cancelled this attempt in the meantime.
        if (!paused_ && !closed_) {
            armSilenceTimeout();
        }
    };
    sink.foreignLine = [this](const std::string& reason) { logForeignAnswer(reason); };
    return sink;
}

void Attempt::logForeignAnswer(const std::string& reason)
{
    ++context_.counts.foreignLines;
    if (++foreignLogLines_ > maxForeignLogLines) {
        return;
    }
    context_.log.write(logging::Level::Warning, "foreign_line",
        { { "backend", order_.backend.value() }, { "request", order_.name },
            { "attempt", static_cast<std::int64_t>(order_.attempt.value()) }, { "reason", reason } });
}

} // namespace swiftlift::transport::internal
