#include "transport/Attempt.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

#include <netinet/tcp.h>

#include <boost/asio/write.hpp>

#include "swiftlift/transport/Endpoint.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    constexpr std::size_t maxRefusalBytes = 4 * 1024;
    /** How long the end of a whole answer may take before its connection is closed rather than kept. */
    constexpr std::chrono::milliseconds recycleTime { 500 };
    /** Seconds of idleness before a connection is probed, between probes, and probes without an answer: a backend
     * server that fell silent without closing shows after about 3 s instead of the system's two hours. */
    constexpr int probeAfter = 1;
    constexpr int probeEvery = 1;
    constexpr int probesLost = 2;
    /** Later than this by itself, the loop may have the connection's answer lying unread when its time is over. */
    constexpr std::chrono::milliseconds lagThatExcuses { 20 };
    /** Milliseconds that sent bytes may go unacknowledged. */
    constexpr unsigned unacknowledgedLimit = 2'500;

    template <int level, int name> using IntOption = boost::asio::detail::socket_option::integer<level, name>;

    void watchForSilence(tcp::socket& socket)
    {
        boost::system::error_code ignored;
        socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
        socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPIDLE>(probeAfter), ignored);
        socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPINTVL>(probeEvery), ignored);
        socket.set_option(IntOption<IPPROTO_TCP, TCP_KEEPCNT>(probesLost), ignored);
        socket.set_option(IntOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledgedLimit), ignored);
    }

    template <typename Fields> AnswerHead headOf(int status, const Fields& fields)
    {
        AnswerHead head { status, {} };
        for (const auto& field : fields) {
            const auto name = field.name_string();
            const auto value = field.value();
            head.fields.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
        }
        return head;
    }

    /** @return How long the other end keeps an idle connection, as its `Keep-Alive: timeout=N` says. */
    std::optional<std::chrono::seconds> toldIdleTime(std::string_view keepAlive)
    {
        constexpr std::string_view mark = "timeout=";
        const auto place = keepAlive.find(mark);
        if (place == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view digits = keepAlive.substr(place + mark.size());
        int seconds = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return error == std::errc {} ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
    }

} // namespace

Attempt::Attempt(StreamContext& context, AttemptHost& host, BackendPool& pool, AttemptOrder order)
    : context_(context)
    , host_(host)
    , pool_(pool)
    , order_(std::move(order))
    , deadline_(context.loop, [this] { silencePassed(); })
{
    startParser();
}

void Attempt::startParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(context_.limits.headerBytes);
    // The answer's own bounds are the readers'. "No limit" of this Beast refuses every body whose length is told.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    verdict_.reset();
}

void Attempt::start()
{
    reader_ = order_.makeReader(sink());
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
    const auto endpoint = parseEndpoint(order_.address.value());
    if (!endpoint) {
        boost::asio::post(context_.loop, [self] { self->end(AttemptResult::Unreachable, "no address"); });
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
            self->end(AttemptResult::Unreachable, "connect: " + error.message());
            return;
        }
        ErrorCode ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        watchForSilence(self->connection_->socket);
        self->write();
    });
}

void Attempt::write()
{
    maybeStarted_ = true;
    armSilence();
    writing_ = true;
    // A failed write is left to the reading side: the backend server may have refused without taking the whole body.
    boost::asio::async_write(connection_->socket, boost::asio::buffer(order_.request),
        [self = shared_from_this()](ErrorCode, std::size_t count) {
            self->writing_ = false;
            self->context_.traffic.sent += count;
        });
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
    context_.traffic.received += count;
    if (closed_) {
        return;
    }
    if (error) {
        onClosed(error);
        return;
    }
    buffer_.commit(count);
    parse();
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
    ErrorCode failed;
    if (error == boost::asio::error::eof && parser_->is_header_done()) {
        parser_->put_eof(failed);
        if (!failed && parser_->is_done()) {
            takeEnd();
            if (!ended_) {
                end(AttemptResult::Broken, "connection closed after another request's answer");
            }
            return;
        }
    }
    connectionLost_ = error == boost::asio::error::eof || error == boost::asio::error::connection_reset;
    end(AttemptResult::Broken, "connection lost: " + error.message());
}

void Attempt::parse()
{
    while (buffer_.size() > 0 && !closed_ && !(ended_ && parser_->is_done())) {
        ErrorCode error;
        const std::size_t used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != http::error::need_more) {
            end(AttemptResult::Broken, "not to be read as HTTP: " + error.message());
            return;
        }
        if (parser_->is_header_done()) {
            takeHeader();
            takeBody();
        }
        if (parser_->is_done() && !closed_) {
            takeEnd();
        } else if (error || used == 0) {
            return;
        }
    }
}

void Attempt::takeHeader()
{
    if (verdict_ || ended_) {
        return;
    }
    const auto& message = parser_->get();
    const AnswerHead head = headOf(static_cast<int>(message.result_int()), message);
    verdict_ = reader_->head(head);
    if (*verdict_ == HeadVerdict::Foreign) {
        logForeignAnswer(reader_->lastReason());
        return;
    }
    status_ = head.status;
    if (*verdict_ == HeadVerdict::Broken) {
        end(AttemptResult::Broken, reader_->lastReason());
    }
}

void Attempt::takeBody()
{
    const std::string body = std::exchange(parser_->get().body(), {});
    if (ended_ || body.empty() || !verdict_) {
        return;
    }
    if (*verdict_ == HeadVerdict::Body) {
        follow(reader_->take(body));
    } else if (*verdict_ == HeadVerdict::Refusal && refusalBody_.size() + body.size() <= maxRefusalBytes) {
        refusalBody_ += body;
    }
}

void Attempt::takeEnd()
{
    // An answer to an earlier request comes late, where ours is expected. It belongs to nobody any more; taken for
    // ours, a caller would get another one's answer.
    if (!ended_ && verdict_ == HeadVerdict::Foreign) {
        startParser();
        return;
    }
    if (!ended_) {
        if (verdict_ == HeadVerdict::Body) {
            follow(reader_->end());
        } else {
            end(reader_->refusal(refusalBody_), "status " + std::to_string(status_));
        }
    }
    recycle();
}

void Attempt::follow(ReadState state)
{
    if (state == ReadState::Broken) {
        end(AttemptResult::Broken, reader_->lastReason());
    } else if (state == ReadState::Whole) {
        end(reader_->result(), {});
    }
}

void Attempt::silencePassed()
{
    // What goes wrong otherwise: a router that is behind takes its own lateness for servers that can't be reached,
    // opens their breakers, doubts whole failure domains and refuses what they could serve. One notices by `connect:
    // timeout` for servers of all domains at once, the own one included, at one router only.
    const bool connecting = !ended_ && !maybeStarted_;
    if (connecting && context_.lag > lagThatExcuses && !std::exchange(excused_, true)) {
        deadline_.arm(context_.limits.connectTime);
        return;
    }
    if (ended_) {
        closeSocket();
    } else if (maybeStarted_) {
        end(AttemptResult::Broken, "silent for too long");
    } else {
        end(AttemptResult::Unreachable, "connect: timeout");
    }
}

void Attempt::end(AttemptResult result, std::string detail)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    if (result == AttemptResult::Completed) {
        // Its connection may be kept, once the end of the body has come.
        paused_ = false;
        deadline_.arm(recycleTime);
    } else if (result == AttemptResult::Broken || !parser_->is_done()) {
        closeSocket();
    }
    host_.attemptEnded(*this, result, std::move(detail));
}

void Attempt::recycle()
{
    if (closed_) {
        return;
    }
    // What follows a whole answer belongs to nobody, and a request whose body is still being written would be followed
    // by the rest of that body: such connections are not kept.
    const bool clean = !writing_ && parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
    if (order_.reuse == Reuse::Never || !clean) {
        closeSocket();
        return;
    }
    closed_ = true;
    deadline_.disarm();
    const auto keepAlive = parser_->get()[http::field::keep_alive];
    pool_.give(order_.backend, std::move(connection_), toldIdleTime({ keepAlive.data(), keepAlive.size() }));
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
    if (order_.silenceLimit > Duration::zero()) {
        deadline_.arm(order_.silenceLimit);
    } else {
        deadline_.arm(context_.limits.defaultSilence);
    }
}

AnswerSink Attempt::sink()
{
    AnswerSink sink;
    sink.part = [this](std::string part) {
        streaming_ = true;
        host_.answerPartCame(*this, std::move(part));
    };
    sink.ownLine = [this] {
        // The host may have paused or cancelled in the meantime.
        if (!paused_ && !closed_) {
            armSilence();
        }
    };
    sink.foreignLine = [this](const std::string& reason) { logForeignAnswer(reason); };
    return sink;
}

void Attempt::logForeignAnswer(const std::string& reason)
{
    ++context_.counts.foreignLines;
    context_.log.write(logging::Level::Warning, "foreign_line",
        { { "backend", order_.backend.value() }, { "request", order_.name },
            { "attempt", static_cast<std::int64_t>(order_.attempt.value()) }, { "reason", reason } });
}

} // namespace swiftlift::transport::internal
