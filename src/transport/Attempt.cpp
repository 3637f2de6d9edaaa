#include "transport/Attempt.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "swiftlift/transport/Hashing.h"
#include "transport/HttpText.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using node::AttemptEnd;

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    constexpr std::size_t maxRefusalBytes = 4 * 1024;
    /** How long the end of a whole answer may take before its connection is closed rather than kept. */
    constexpr std::chrono::milliseconds recycleTime { 500 };

    bool saysLeaving(const std::string& body)
    {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        return json.is_object() && json.value("error", nlohmann::json()) == "leaving";
    }

} // namespace

Attempt::Attempt(StreamContext& context, AttemptHost& host, BackendPool& pool, AttemptOrder order)
    : context_(context)
    , host_(host)
    , pool_(pool)
    , order_(std::move(order))
    , deadline_(context.loop, [this] { silencePassed(); })
{
    parser_.eager(true);
    parser_.header_limit(context.limits.headerBytes);
    // The answer's own bounds are the readers'. "No limit" of this Beast refuses every body whose length is told.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

void Attempt::start()
{
    reader_ = makeReader();
    outgoing_ = requestBytes();
    if (order_.mayReuse) {
        connection_ = pool_.take(order_.dispatch.backend);
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
    const auto endpoint = parseEndpoint(order_.dispatch.backend.value());
    if (!endpoint) {
        boost::asio::post(context_.loop, [self] { self->end(AttemptEnd::NotStarted, "no address"); });
        return;
    }
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(order_.dispatch.silenceLimit);
    deadline_.arm(silence.count() > 0 ? std::min(context_.limits.connectTime, silence) : context_.limits.connectTime);
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint->ip), endpoint->port);
    connection_->socket.async_connect(address, [self](ErrorCode error) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->end(AttemptEnd::NotStarted, "connect: " + error.message());
            return;
        }
        ErrorCode ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        self->write();
    });
}

void Attempt::write()
{
    maybeStarted_ = true;
    armSilence();
    writing_ = true;
    // A failed write is left to the reading side: the backend server may have refused without taking the whole body.
    boost::asio::async_write(connection_->socket, boost::asio::buffer(outgoing_),
        [self = shared_from_this()](ErrorCode, std::size_t) { self->writing_ = false; });
    read();
}

void Attempt::read()
{
    if (reading_ || paused_ || closed_) {
        return;
    }
    reading_ = true;
    connection_->socket.async_read_some(buffer_.prepare(readBytes),
        [self = shared_from_this()](ErrorCode error, std::size_t count) { self->onRead(error, count); });
}

void Attempt::onRead(ErrorCode error, std::size_t count)
{
    reading_ = false;
    if (closed_) {
        return;
    }
    if (error) {
        onClosed(error);
        return;
    }
    buffer_.commit(count);
    parse();
    read();
}

void Attempt::onClosed(ErrorCode error)
{
    if (ended_) {
        closeSocket();
        return;
    }
    ErrorCode failed;
    if (error == boost::asio::error::eof && parser_.is_header_done()) {
        parser_.put_eof(failed);
        if (!failed && parser_.is_done()) {
            takeEnd();
            return;
        }
    }
    end(AttemptEnd::Broken, "connection lost: " + error.message());
}

void Attempt::parse()
{
    while (buffer_.size() > 0 && !parser_.is_done() && !closed_) {
        ErrorCode error;
        const std::size_t used = parser_.put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            end(AttemptEnd::Broken, "not to be read as HTTP: " + error.message());
            return;
        }
        if (parser_.is_header_done()) {
            takeHeader();
            takeBody();
        }
        if (error || used == 0) {
            break;
        }
    }
    if (parser_.is_done() && !closed_) {
        takeEnd();
    }
}

void Attempt::takeHeader()
{
    if (std::exchange(headerSeen_, true)) {
        return;
    }
    const unsigned status = parser_.get().result_int();
    const bool refusal = status == 429 || status == 503;
    if (status != 200 && !refusal) {
        end(AttemptEnd::Broken, "status " + std::to_string(status));
    }
}

void Attempt::takeBody()
{
    const std::string body = std::exchange(parser_.get().body(), {});
    if (ended_ || body.empty()) {
        return;
    }
    if (parser_.get().result_int() == 200) {
        follow(reader_->take(body));
    } else if (refusalBody_.size() + body.size() <= maxRefusalBytes) {
        refusalBody_ += body;
    }
}

void Attempt::takeEnd()
{
    if (!ended_) {
        if (parser_.get().result_int() == 200) {
            follow(reader_->end());
        } else {
            takeRefusal();
        }
    }
    recycle();
}

void Attempt::follow(ReadState state)
{
    if (state == ReadState::Broken) {
        end(AttemptEnd::Broken, reader_->lastReason());
    } else if (state == ReadState::Whole) {
        end(AttemptEnd::Completed, {});
    }
}

void Attempt::takeRefusal()
{
    const unsigned status = parser_.get().result_int();
    const bool leaving = status == 503 && saysLeaving(refusalBody_);
    end(leaving ? AttemptEnd::Leaving : AttemptEnd::NotStarted, "status " + std::to_string(status));
}

void Attempt::silencePassed()
{
    if (ended_) {
        closeSocket();
    } else if (maybeStarted_) {
        end(AttemptEnd::Broken, "silent for too long");
    } else {
        end(AttemptEnd::NotStarted, "connect: timeout");
    }
}

void Attempt::end(AttemptEnd end, std::string detail)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    if (end == AttemptEnd::Completed) {
        // Its connection may be kept, once the end of the body has come.
        paused_ = false;
        deadline_.arm(recycleTime);
    } else if (end == AttemptEnd::Broken || !parser_.is_done()) {
        closeSocket();
    }
    host_.attemptEnded(*this, end, reader_->counts(), std::move(detail));
}

void Attempt::recycle()
{
    if (closed_) {
        return;
    }
    if (order_.mayReuse && !writing_ && parser_.is_done() && parser_.keep_alive() && buffer_.size() == 0) {
        closed_ = true;
        deadline_.disarm();
        pool_.give(order_.dispatch.backend, std::move(connection_));
    } else {
        closeSocket();
    }
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
    if (connection_) {
        ErrorCode ignored;
        connection_->socket.close(ignored);
    }
}

void Attempt::pause()
{
    paused_ = true;
    deadline_.disarm();
}

void Attempt::resume()
{
    if (!std::exchange(paused_, false) || closed_ || ended_) {
        return;
    }
    armSilence();
    read();
}

void Attempt::armSilence()
{
    if (order_.dispatch.silenceLimit > Duration::zero()) {
        deadline_.arm(order_.dispatch.silenceLimit);
    } else {
        deadline_.arm(context_.limits.defaultSilence);
    }
}

std::string Attempt::attemptText() const
{
    return toHex(context_.incarnation.value()) + "-" + std::to_string(order_.dispatch.attempt.value());
}

std::string Attempt::requestBytes() const
{
    const auto& dispatch = order_.dispatch;
    const bool model = dispatch.kind == node::BackendKind::Model;
    auto request = jsonPost(dispatch.backend.value(), model ? "/generate" : "/call", dispatch.body);
    request.set("X-Request-Key", toHex(dispatch.key));
    request.set("X-Attempt-Id", attemptText());
    if (model) {
        request.set("X-Priority", std::to_string(static_cast<int>(dispatch.priority)));
    }
    if (model && order_.next > 0) {
        request.set("X-Resume-From", std::to_string(order_.next));
    }
    request.keep_alive(order_.mayReuse);
    return toBytes(request);
}

std::unique_ptr<AnswerReader> Attempt::makeReader()
{
    AnswerSink sink;
    sink.part = [this](std::string part) { host_.answerPartCame(*this, std::move(part)); };
    sink.ownLine = [this] {
        // The host may have paused or cancelled in the meantime.
        if (!paused_ && !closed_) {
            armSilence();
        }
    };
    sink.foreignLine = [this](const std::string& reason) { logForeignLine(reason); };
    if (order_.dispatch.kind == node::BackendKind::Plain) {
        return std::make_unique<PlainAnswerReader>(std::move(sink), context_.limits.answerBytes);
    }
    LineMatcher matcher(toHex(order_.dispatch.key), attemptText(), order_.next, order_.mostTokens);
    return std::make_unique<ModelAnswerReader>(std::move(matcher), std::move(sink), context_.limits.lineBytes);
}

void Attempt::logForeignLine(const std::string& reason)
{
    ++context_.counts.foreignLines;
    context_.log.write(logging::Level::Warning, "foreign_line",
        { { "backend", order_.dispatch.backend.value() }, { "key", toHex(order_.dispatch.key) },
            { "attempt", attemptText() }, { "reason", reason } });
}

} // namespace swiftlift::transport::internal
