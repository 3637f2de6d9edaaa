#include "transport/AsyncHttpClient.h"

#include <utility>

#include <boost/asio/write.hpp>

#include "transport/HttpText.h"
#include "transport/SocketOptions.h"

namespace swiftlift::transport::internal {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    /** Bytes of a response that may be buffered unparsed: its head, or one line of a chunked body's framing. */
    constexpr std::size_t maxUnparsedBytes = 64 * 1024;

} // namespace

AsyncHttpClient::AsyncHttpClient(boost::asio::io_context& loop, Endpoint endpoint, TrafficCounter& traffic)
    : loop_(loop)
    , endpoint_(std::move(endpoint))
    , traffic_(traffic)
    , stream_(loop)
    , buffer_(maxUnparsedBytes)
{
}

void AsyncHttpClient::call(http::request<http::string_body> request, std::chrono::milliseconds limit, Done done)
{
    done_ = std::move(done);
    requestBytes_ = toBytes(request);
    stream_.expires_after(limit);
    if (connected_) {
        write();
    } else {
        connect();
    }
}

void AsyncHttpClient::connect()
{
    ErrorCode error;
    const auto address = boost::asio::ip::make_address(endpoint_.ip, error);
    if (error) {
        boost::asio::post(loop_, [self = shared_from_this()] { self->finish(std::nullopt); });
        return;
    }
    stream_.async_connect(tcp::endpoint(address, endpoint_.port), [self = shared_from_this()](ErrorCode connectError) {
        if (connectError) {
            self->finish(std::nullopt);
            return;
        }
        ErrorCode ignored;
        self->stream_.socket().set_option(tcp::no_delay(true), ignored);
        detectDeadPeer(self->stream_.socket());
        self->connected_ = true;
        self->write();
    });
}

void AsyncHttpClient::write()
{
    if (sendCondition_ && !sendCondition_()) {
        finish(std::nullopt);
        return;
    }
    traffic_.sent += requestBytes_.size();
    boost::asio::async_write(
        stream_, boost::asio::buffer(requestBytes_), [self = shared_from_this()](ErrorCode error, std::size_t) {
            if (error) {
                self->finish(std::nullopt);
            } else {
                self->read();
            }
        });
}

void AsyncHttpClient::read()
{
    buffer_.clear();
    parser_.emplace();
    parser_->body_limit(LimitedTextBody::maxBytes);
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](ErrorCode error, std::size_t count) {
        self->traffic_.received += count;
        self->handleResponse(error);
    });
}

void AsyncHttpClient::handleResponse(ErrorCode error)
{
    // Without a length, the part that a killed server has sent would count as the whole.
    if (error || parser_->need_eof() || !isStatus(parser_->get().result_int()) || hasUnknownCoding(parser_->get())) {
        finish(std::nullopt);
        return;
    }
    auto message = parser_->release();
    if (!message.keep_alive()) {
        close();
    }
    stream_.expires_never();
    finish(HttpResponse { static_cast<int>(message.result_int()), std::move(message.body()) });
}

void AsyncHttpClient::finish(std::optional<HttpResponse> answer)
{
    if (!answer) {
        close();
    }
    if (const auto done = std::exchange(done_, nullptr)) {
        done(std::move(answer));
    }
}

void AsyncHttpClient::close()
{
    connected_ = false;
    ErrorCode ignored;
    stream_.socket().close(ignored);
}

} // namespace swiftlift::transport::internal
