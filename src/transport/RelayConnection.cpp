#include "transport/RelayConnection.h"

#include <utility>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "transport/RelayServer.h"
#include "transport/SocketOptions.h"

namespace swiftlift::transport::internal {

namespace {

    using boost::asio::ip::tcp;

    constexpr std::size_t maxRequestBytes = 4 * 1024;
    constexpr std::size_t readBytes = 8 * 1024;
    /** Time for the request for a connection, and for the core's decision. */
    constexpr std::chrono::milliseconds requestTime { 1'000 };

} // namespace

class RelayConnection::Direction final : public PacedReader, public std::enable_shared_from_this<Direction> {
public:
    /** @param paced Data is read in the pacer's rounds after the first read. */
    Direction(std::shared_ptr<RelayConnection> relay, Socket& from, Socket& to, bool paced)
        : relay_(std::move(relay))
        , from_(from)
        , to_(to)
        , paced_(paced)
    {
    }

    void readNow() override
    {
        from_.async_read_some(boost::asio::buffer(buffer_),
            [self = shared_from_this()](const ErrorCode& error, std::size_t count) { self->onRead(error, count); });
    }

private:
    void onRead(const ErrorCode& error, std::size_t count)
    {
        if (relay_->closed_) {
            return;
        }
        if (&from_ == &relay_->backend_) {
            relay_->backendRead(error, { buffer_.data(), count });
        }
        if (error == boost::asio::error::eof) {
            relay_->senderEnded(to_);
        } else if (error) {
            relay_->close(sideOf(from_) + " lost: " + error.message());
        } else {
            relay_->context_.traffic.received += count;
            write(count);
        }
    }

    void write(std::size_t count)
    {
        relay_->writingRequest_ = relay_->writingRequest_ || writesRequest();
        boost::asio::async_write(to_, boost::asio::buffer(buffer_, count),
            [self = shared_from_this()](const ErrorCode& error, std::size_t written) {
                self->relay_->context_.traffic.sent += written;
                self->relay_->bytes_ += written;
                self->onWritten(error);
            });
    }

    void onWritten(const ErrorCode& error)
    {
        if (relay_->closed_) {
            return;
        }
        if (writesRequest() && !relay_->requestWritten(error)) {
            return;
        }
        if (error) {
            relay_->close(sideOf(to_) + " lost: " + error.message());
        } else if (paced_) {
            relay_->context_.pacer.later(shared_from_this());
        } else {
            readNow();
        }
    }

    [[nodiscard]] bool writesRequest() const noexcept { return &to_ == &relay_->backend_; }

    [[nodiscard]] std::string sideOf(const Socket& socket) const
    {
        return &socket == &relay_->backend_ ? "connection to the backend server" : "connection to the router";
    }

    std::shared_ptr<RelayConnection> relay_;
    Socket& from_;
    Socket& to_;
    bool paced_;
    std::array<char, readBytes> buffer_ {};
};

RelayConnection::RelayConnection(StreamContext& context, RelayServer& server, RelayId id, Socket router)
    : context_(context)
    , server_(server)
    , id_(id)
    , router_(std::move(router))
    , backend_(context.loop)
    , deadline_(context.loop, [this] { timedOut(); })
{
}

void RelayConnection::start()
{
    ErrorCode ignored;
    router_.set_option(tcp::no_delay(true), ignored);
    detectDeadPeer(router_);
    deadline_.arm(requestTime);
    boost::asio::async_read_until(router_, boost::asio::dynamic_buffer(request_, maxRequestBytes), endOfRelayHead,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->requestReceived(error); });
}

void RelayConnection::requestReceived(const ErrorCode& error)
{
    if (closed_) {
        return;
    }
    backendId_ = error ? BackendId {} : parseRelayRequest(request_);
    if (backendId_.value().empty()) {
        close("no request for a connection");
        return;
    }
    requested_ = true;
    if (!context_.decisions.tryPush(
            { context_.incarnation, node::RelayRequested { id_, backendId_ } }, reservedEvents)) {
        refuse("overloaded", false);
    }
}

void RelayConnection::connect(const BackendAddress& address)
{
    const auto endpoint = context_.endpointOf(address);
    if (!endpoint) {
        answerAndClose({ RelayAnswer::unreachable, "no valid address" });
        return;
    }
    connecting_ = true;
    deadline_.arm(context_.limits.connectTime);
    ++context_.counts.backendConnects;
    backend_.async_connect(tcp::endpoint(boost::asio::ip::make_address(endpoint->ip), endpoint->port),
        [self = shared_from_this()](const ErrorCode& error) {
            if (self->closed_) {
                return;
            }
            if (error) {
                self->unreachable(error.message());
            } else {
                self->connected();
            }
        });
}

void RelayConnection::connected()
{
    deadline_.disarm();
    ErrorCode ignored;
    backend_.set_option(tcp::no_delay(true), ignored);
    detectDeadPeer(backend_);
    answer_ = relayAnswerText({ RelayAnswer::connected, {} });
    boost::asio::async_write(
        router_, boost::asio::buffer(answer_), [self = shared_from_this()](const ErrorCode& error, std::size_t) {
            if (self->closed_) {
                return;
            }
            if (error) {
                self->close("connection to the router lost: " + error.message());
                return;
            }
            resetOnClose(self->router_, true);
            self->toBackend_ = std::make_shared<Direction>(self, self->router_, self->backend_, false);
            self->toRouter_ = std::make_shared<Direction>(self, self->backend_, self->router_, true);
            self->toBackend_->readNow();
            self->toRouter_->readNow();
        });
}

void RelayConnection::timedOut()
{
    if (connecting_) {
        unreachable("timeout");
    } else {
        refuse("timeout", false);
    }
}

void RelayConnection::unreachable(const std::string& reason)
{
    failure_ = node::ConnectFailure::Server;
    answerAndClose({ RelayAnswer::unreachable, reason });
}

void RelayConnection::backendRead(const ErrorCode& error, std::string_view bytes)
{
    if (error) {
        failure_ = backendHeard_ ? node::ConnectFailure::None : node::ConnectFailure::Closed;
        return;
    }
    if (!std::exchange(backendHeard_, true)) {
        context_.decisions.pushOrDrop({ context_.incarnation, node::BackendConnected { backendId_ } });
    }
    if (const auto head = answerHead_.onBytes(bytes)) {
        if (const auto announcement = server_.announcementIn(*head); !announcement.empty()) {
            context_.events.push({ Incarnation {}, node::BackendAnnounced { backendId_, announcement } });
        }
    }
}

void RelayConnection::refuse(const std::string& reason, bool concernsServer)
{
    answerAndClose({ concernsServer ? RelayAnswer::declined : RelayAnswer::refused, reason });
}

void RelayConnection::answerAndClose(RelayAnswer answer)
{
    if (closed_ || !answer_.empty()) {
        return;
    }
    ErrorCode ignored;
    backend_.close(ignored);
    answer_ = relayAnswerText(answer);
    boost::asio::async_write(router_, boost::asio::buffer(answer_),
        [self = shared_from_this(), reason = std::move(answer.reason)](
            const ErrorCode&, std::size_t) { self->close(reason); });
}

// A router that closes its side has its answer, or gives the request up: the server must not work on. A server that
// closes its side may have bytes on their way to the router. Only its orderly end is passed on as one: whatever else
// ends the relayed connection, this process included, resets the router's side, which else would take the part of an
// answer without a length for the whole.
void RelayConnection::senderEnded(Socket& receiver)
{
    if (&receiver == &backend_) {
        close("complete");
        return;
    }
    answerEnded_ = true;
    if (!writingRequest_) {
        passEndOn();
    }
}

// A reset of the server is reported to one operation only. If that is a write of the request, the read reports an
// orderly end, whichever of the two is handled first.
void RelayConnection::passEndOn()
{
    if (requestCut_) {
        resetOnClose(router_, true);
        close("connection to the backend server lost while the request was written");
        return;
    }
    resetOnClose(router_, false);
    ErrorCode ignored;
    router_.shutdown(Socket::shutdown_send, ignored);
}

bool RelayConnection::requestWritten(const ErrorCode& error)
{
    writingRequest_ = false;
    // After an error the server's answer may still have to be read.
    requestCut_ = static_cast<bool>(error);
    if (answerEnded_) {
        passEndOn();
    }
    return !requestCut_ && !closed_;
}

void RelayConnection::close(const std::string& detail)
{
    if (std::exchange(closed_, true)) {
        return;
    }
    const auto self = shared_from_this();
    deadline_.disarm();
    ErrorCode ignored;
    router_.close(ignored);
    backend_.close(ignored);
    toBackend_.reset();
    toRouter_.reset();
    if (requested_) {
        context_.events.push({ context_.incarnation, node::RelayEnded { id_, bytes_, detail, failure_ } });
    }
    server_.onEnded(id_);
}

} // namespace swiftlift::transport::internal
